#pragma once

#include "filters/scatter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hibiscusspool {

/** What is sent for an attempt, besides its body. */
struct backend_request_head
{
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mFields;
};

/** How attempts are put to servers and their answers read. */
struct backend_protocol
{
  /** The call for an attempt with so much time left. */
  std::function<backend_request_head(const server_request&, milliseconds)>
    mEncode;
  /** Whether a whole answer may be used. */
  std::function<attempt_status(const server_request&, const server_response&)>
    mClassify;
  /** True for an answer to another request, after which the own one comes. */
  std::function<bool(const server_request&, const server_response&)>
    mIsMismatched;
  /** A cancelled attempt is told to the server besides the closed connection.
   */
  bool mSendsCancel = false;
};

/** The dialect of the system's own interface for servers. */
backend_protocol
MakeNativeProtocol();

struct backend_client_config
{
  /** For the requests of our own interface. */
  backend_protocol mNativeProtocol = MakeNativeProtocol();
  /** For requests that are passed on as they are. */
  backend_protocol mForwardProtocol;
  /** Largest answer taken, in bytes. */
  std::size_t mMaxResponseBytes = 16 << 20;
  /** A connection that was unused for longer is replaced. */
  milliseconds mMaxIdle{ 5000 };
  milliseconds mConnectTimeout{ 1000 };
};

/** The dialect in which an attempt is put to its server. */
const backend_protocol&
ProtocolOf(const backend_client_config& aConfig, const server_request& aOrder);

struct backend_client_hooks
{
  /** An unused connection to send a cancellation on, if there is one. */
  std::function<std::optional<connection_id>(const server_id&)>
    mBorrowConnection;
  std::function<void(const server_id&, connection_id)> mReturnConnection;
  /** A borrowed connection is closed. */
  std::function<void(const server_id&)> mOnConnectionClosed;
};

/**
 * The HTTP edge toward backend servers. Connections live in a container and
 * are named by numbers; whoever holds a number uses the connection alone.
 */
class backend_client
{
  struct state;
  std::shared_ptr<state> mState;

  explicit backend_client(std::shared_ptr<state> aState);

public:
  static backend_client Create(boost::asio::io_context& aContext,
                               backend_client_config aConfig,
                               backend_client_hooks aHooks);

  /** Sends one attempt and waits for its answer; it may be cancelled. */
  boost::asio::awaitable<attempt_result> Attempt(server_request aOrder) const;
  /** Closes connections that nobody uses. */
  void Close(const std::vector<connection_id>& aConnections) const;
  [[nodiscard]] std::size_t OpenCount() const;
};

}

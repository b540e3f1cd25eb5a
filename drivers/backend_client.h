#pragma once

#include "filters/scatter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hibiscusspool {

/** What is sent for an attempt, besides its body. */
struct backend_call
{
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mFields;
};

/** How attempts are put to servers and their answers read. */
struct backend_dialect
{
  /** The call for an attempt with so much time left. */
  std::function<backend_call(const attempt_order&, milliseconds)> mEncode;
  /** Whether a whole answer may be used. */
  std::function<attempt_status(const attempt_order&, const server_reply&)>
    mJudge;
  /** True for an answer to another request, after which the own one comes. */
  std::function<bool(const attempt_order&, const server_reply&)> mIsForeign;
  /** A cancelled attempt is told to the server besides the closed connection.
   */
  bool mSendsCancel = false;
};

/** The dialect of the system's own interface for servers. */
backend_dialect
MakeOwnDialect();

struct backend_client_config
{
  /** For the requests of our own interface. */
  backend_dialect mOwnDialect = MakeOwnDialect();
  /** For requests that are passed on as they are. */
  backend_dialect mForwardDialect;
  /** Largest answer taken, in bytes. */
  std::size_t mAnswerBytes = 16 << 20;
  /** A connection that was unused for longer is replaced. */
  milliseconds mIdleProbe{ 5000 };
  milliseconds mConnectTimeout{ 1000 };
};

/** The dialect in which an attempt is put to its server. */
const backend_dialect&
DialectOf(const backend_client_config& aConfig, const attempt_order& aOrder);

struct backend_client_hooks
{
  /** An unused connection to send a cancellation on, if there is one. */
  std::function<std::optional<connection_id>(const server_id&)> mBorrow;
  std::function<void(const server_id&, connection_id)> mReturn;
  /** A borrowed connection is closed. */
  std::function<void(const server_id&)> mLost;
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
  boost::asio::awaitable<attempt_result> Attempt(attempt_order aOrder) const;
  /** Closes connections that nobody uses. */
  void Close(const std::vector<connection_id>& aConnections) const;
  [[nodiscard]] std::size_t OpenCount() const;
};

}

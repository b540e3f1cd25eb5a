#pragma once

#include "filters/scatter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hibiscusspool {

/** The head of the request for an attempt. */
struct backend_call
{
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mFields;
};

/** How attempts are encoded and their responses are classified. */
struct backend_dialect
{
  /** The request head for an attempt with so much time left. */
  std::function<backend_call(const attempt_order&, milliseconds)> mEncode;
  /** The status of an attempt after a complete response. */
  std::function<attempt_status(const attempt_order&, const server_reply&)>
    mJudge;
  /** True for a response to another request, which precedes the right one. */
  std::function<bool(const attempt_order&, const server_reply&)> mIsForeign;
  /** The server is sent a cancellation besides the closed connection. */
  bool mSendsCancel = false;
};

/** The protocol of the system's own interface for servers. */
backend_dialect
MakeOwnDialect();

struct backend_client_config
{
  /** For requests of the system's own interface. */
  backend_dialect mOwnDialect = MakeOwnDialect();
  /** For requests that are forwarded unchanged. */
  backend_dialect mForwardDialect;
  /** Maximum size of a response body in bytes. */
  std::size_t mAnswerBytes = 16 << 20;
  /** A connection that was idle for longer is replaced. */
  milliseconds mIdleProbe{ 5000 };
  milliseconds mConnectTimeout{ 1000 };
};

/** The protocol with which an attempt is sent to its server. */
const backend_dialect&
DialectOf(const backend_client_config& aConfig, const attempt_order& aOrder);

struct backend_client_hooks
{
  /** An idle connection to send a cancellation on, if there is one. */
  std::function<std::optional<connection_id>(const server_id&)> mBorrow;
  std::function<void(const server_id&, connection_id)> mReturn;
  /** Called when a borrowed connection has been closed. */
  std::function<void(const server_id&)> mLost;
};

/**
 * The HTTP client for backend servers. It keeps idle connections by number;
 * the holder of a number has exclusive use of the connection.
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

  /** Sends one attempt and waits for its response; it may be cancelled. */
  boost::asio::awaitable<attempt_result> Attempt(attempt_order aOrder) const;
  /** Closes idle connections. */
  void Close(const std::vector<connection_id>& aConnections) const;
  [[nodiscard]] std::size_t OpenCount() const;
};

}

#pragma once

#include "controllers/transfer_controller.h"
#include "filters/scatter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace hibiscusspool {

/** The head of the request for an attempt. */
struct backend_request_head
{
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mFields;
};

/** How attempts are encoded and their responses are classified. */
struct backend_protocol
{
  /** The request head of an attempt, given the time left to its deadline. */
  std::function<backend_request_head(const server_request&, milliseconds)>
    mEncode;
  /** The status of an attempt after a complete response. */
  std::function<attempt_status(const server_request&, const server_response&)>
    mClassify;
  /** The id by which the server knows the request; empty if it has none. */
  std::function<std::string_view(const server_request&)> mRequestId;
  /** The id of the request that a response names; empty if it names none. */
  std::function<std::string_view(const server_response&)> mNamedRequest;
  /** What the server says of itself in a response, at the wall time. */
  std::function<server_notice(const server_response&, wall_ms)> mReadNotice;
  /**
   * When an attempt is cancelled, its connection is closed and the server is
   * also sent a cancellation on another connection.
   */
  bool mSendsCancel = false;
  /**
   * A response to an earlier request may precede the right one and is skipped;
   * otherwise it ends the attempt.
   */
  bool mSkipsEarlier = false;
};

/** The protocol of the system's own interface to backend servers. */
backend_protocol
MakeNativeProtocol();

struct backend_client_config
{
  /** For requests of the system's own interface. */
  backend_protocol mNativeProtocol = MakeNativeProtocol();
  /** For requests that are forwarded unchanged. */
  backend_protocol mForwardProtocol;
  /** Maximum size of a response body in bytes. */
  std::size_t mMaxResponseBytes = 16 << 20;
  /** Bounds the bodies of all responses that this host holds. */
  std::shared_ptr<transfer_controller> mTransfers =
    std::make_shared<transfer_controller>(32ULL << 20U);
  /** A connection that was idle for longer is replaced. */
  milliseconds mMaxIdleTime{ 5000 };
  milliseconds mConnectTimeout{ 1000 };
};

/** The protocol with which an attempt is sent to its server. */
const backend_protocol&
ProtocolOf(const backend_client_config& aConfig,
           const server_request& aRequest);

struct backend_client_hooks
{
  /** True if an attempt may still be sent; asked just before it is. */
  std::function<bool(const server_request&, steady_time)> mMaySend;
  /** An idle connection to send a cancellation on, if there is one. */
  std::function<std::optional<connection_id>(const server_id&)>
    mBorrowConnection;
  std::function<void(const server_id&, connection_id)> mReturnConnection;
  /** Called when a borrowed connection has been closed. */
  std::function<void(const server_id&)> mOnConnectionClosed;
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
  boost::asio::awaitable<attempt_result> SendAttempt(
    server_request aRequest) const;
  /** Closes the idle connections with these numbers. */
  void Close(const std::vector<connection_id>& aConnections) const;
  [[nodiscard]] std::size_t OpenCount() const;
};

}

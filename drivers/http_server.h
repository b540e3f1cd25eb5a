#pragma once

#include "controllers/client_controller.h"
#include "controllers/transfer_controller.h"
#include "core/clock.h"
#include "core/failure.h"
#include "core/name_table.h"
#include "drivers/tcp_listener.h"
#include "filters/caller_status.h"
#include "filters/forwarded_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusspool {

enum class http_server_error
{
  CannotListen,
};

template<>
inline constexpr name_table<http_server_error, 1> kNames<http_server_error>{ {
  { http_server_error::CannotListen, "cannot_listen" },
} };

/** Why a request could not be read. */
enum class http_read_error
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  ReadTimeout,
  /** This host holds too many bytes of bodies, and most of them are of this
   * one. */
  NoRoom,
};

template<>
inline constexpr name_table<http_read_error, 6> kNames<http_read_error>{ {
  { http_read_error::None, "none" },
  { http_read_error::Malformed, "malformed" },
  { http_read_error::HeaderTooLarge, "header_too_large" },
  { http_read_error::BodyTooLarge, "body_too_large" },
  { http_read_error::ReadTimeout, "too_slow" },
  { http_read_error::NoRoom, "no_room" },
} };

struct http_request
{
  std::string mMethod;
  /** Path without the query. */
  std::string mPath;
  std::string mQuery;
  /** Path and query as sent. */
  std::string mTarget;
  /** All header fields in the order received. */
  std::vector<header_field> mFields;
  std::string mBody;
  http_read_error mReadError = http_read_error::None;
  /** Reports that the caller disconnected before the response. */
  std::shared_ptr<caller_status> mCaller;

  /** The value of the last field with this name. */
  [[nodiscard]] std::optional<std::string> Header(std::string_view aName) const;
  /** The value of a query parameter. */
  [[nodiscard]] std::optional<std::string> Parameter(
    const std::string& aName) const;
};

struct http_response
{
  unsigned mStatus = 200;
  std::string mBody;
  /** The header is omitted if this is empty. */
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /** Counts the body among those that this host holds, until it is sent. */
  std::shared_ptr<const void> mHeldBody;
};

/** The head of a request whose body has not been read. */
struct http_request_head
{
  std::string_view mMethod;
  /** Path without the query. */
  std::string_view mPath;
  std::string_view mHost;
};

using http_handler =
  std::function<boost::asio::awaitable<http_response>(http_request)>;

struct http_server_config
{
  std::string mAddress;
  std::uint32_t mMaxHeaderBytes = 16 << 10;
  /** A field takes some 100 bytes besides its text, so that a head of the
   * maximum size could take thirty times as many bytes. */
  std::size_t mMaxHeaderFields = 256;
  std::size_t mMaxBodyBytes = 1 << 20;
  milliseconds mTransferTimeout{ 5000 };
  milliseconds mIdleTimeout{ 60'000 };
  std::size_t mMaxConnections = 4096;
  /** Bounds the bodies of all requests together; null if nothing does. */
  std::shared_ptr<transfer_controller> mTransfers;
  /** Bounds the connections of all listeners together; if null, those of this
   * listener alone. */
  std::shared_ptr<client_controller> mClients;
  /** False for a request that is answered the same whatever its body is: one of
   * more than a few bytes is not read. If unset, all bodies are read. Called on
   * any thread. */
  std::function<bool(const http_request_head&)> mTakesBody;
  /** Selects the context of a new connection; if unset, the listener's own. */
  std::function<boost::asio::io_context&()> mSelectContext;
  /** Called while draining, after each response and each closed connection. */
  std::function<void()> mOnDrainProgress;
};

struct http_connection;

/**
 * An HTTP/1.1 server. Each connection runs on one thread at a time and
 * processes its requests in order. Requests that could not be read reach the
 * handler too, so that their refusals are counted.
 */
class http_server
{
  struct state;
  std::shared_ptr<state> mState;

  explicit http_server(std::shared_ptr<state> aState);
  static tcp_listener_hooks ListenerHooks(const std::weak_ptr<state>& aState);
  /** Closes a connection that was chosen for it; called on any thread. */
  static std::function<void(client_id)> CloseHook(
    const std::weak_ptr<state>& aState,
    const std::weak_ptr<http_connection>& aConnection);
  /** Serves a connection that was accepted. */
  static void Start(const std::shared_ptr<state>& aState,
                    boost::asio::ip::tcp::socket aSocket);

public:
  static result<http_server, http_server_error> Create(
    boost::asio::io_context& aContext,
    http_server_config aConfig,
    http_handler aHandler);

  /** Responds with `Connection: close` from now on, but keeps accepting. */
  void StartDraining();
  /** Stops accepting and closes idle connections. Requests that have begun to
   * arrive are still answered. */
  void Stop();
  /**
   * Treats the callers of all active requests as disconnected, so that the
   * requests end at once with the results so far.
   */
  void CancelActiveRequests();
  [[nodiscard]] std::size_t ConnectionCount() const;
  [[nodiscard]] std::size_t ActiveRequestCount() const;
};

}

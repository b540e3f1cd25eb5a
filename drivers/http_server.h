#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "core/name_table.h"
#include "filters/caller_presence.h"
#include "filters/forwarded_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class http_error
{
  CannotListen,
};

template<>
inline constexpr name_table<http_error, 1> kNames<http_error>{ {
  { http_error::CannotListen, "cannot_listen" },
} };

/** Why a request could not be read completely. */
enum class http_fault
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooSlow,
};

template<>
inline constexpr name_table<http_fault, 5> kNames<http_fault>{ {
  { http_fault::None, "none" },
  { http_fault::Malformed, "malformed" },
  { http_fault::HeaderTooLarge, "header_too_large" },
  { http_fault::BodyTooLarge, "body_too_large" },
  { http_fault::TooSlow, "too_slow" },
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
  http_fault mFault = http_fault::None;
  /** Reports that the caller disconnected before the response. */
  std::shared_ptr<caller_presence> mPresence;

  /** The value of the last field with this name. */
  [[nodiscard]] std::optional<std::string> Header(std::string_view aName) const;
  /** The value of a query parameter. */
  [[nodiscard]] std::optional<std::string> Parameter(
    const std::string& aName) const;
};

struct http_reply
{
  unsigned mStatus = 200;
  std::string mBody;
  /** Omitted if empty. */
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders;
};

using http_handler =
  std::function<boost::asio::awaitable<http_reply>(http_request)>;

struct http_server_config
{
  std::string mAddress;
  std::uint32_t mHeaderBytes = 16 << 10;
  std::size_t mBodyBytes = 1 << 20;
  milliseconds mSlowSender{ 5000 };
  milliseconds mIdle{ 60'000 };
  std::size_t mMostConnections = 4096;
  /** Selects the context of a new connection; default: the listener's own. */
  std::function<boost::asio::io_context&()> mContextOf;
  /** Called while draining, after each response and each closed connection. */
  std::function<void()> mOnIdle;
};

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
  static boost::asio::awaitable<void> Accept(std::shared_ptr<state> aState);

public:
  static result<http_server, http_error> Create(
    boost::asio::io_context& aContext,
    http_server_config aConfig,
    http_handler aHandler);

  /** Responds with `Connection: close` from now on, but keeps accepting. */
  void StartClosing();
  /** Stops accepting and closes connections without an active request. */
  void Stop();
  /**
   * Treats the callers of all active requests as disconnected, so that the
   * requests end at once with the results so far.
   */
  void GiveUpRunning();
  [[nodiscard]] std::size_t Connections() const;
  [[nodiscard]] std::size_t Active() const;
};

}

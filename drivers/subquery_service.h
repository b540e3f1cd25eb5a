#pragma once

#include "core/failure.h"
#include "core/name_table.h"
#include "filters/subquery.h"

#include <boost/asio/io_context.hpp>
#include <grpcpp/impl/service_type.h>

#include <functional>
#include <memory>
#include <string>

namespace hibiscusspool {

enum class subquery_service_error
{
  CannotListen,
};

template<>
inline constexpr name_table<subquery_service_error, 1>
  kNames<subquery_service_error>{ {
    { subquery_service_error::CannotListen, "cannot_listen" },
  } };

/**
 * Starts a subquery and returns a function that cancels it. The callback may be
 * called on any thread, one call at a time; the last update is always sent.
 */
using subquery_handler =
  std::function<std::function<void()>(subquery, subquery_callback)>;

/** The server of the subqueries that other entry hosts send. */
class subquery_service
{
  struct state;
  std::unique_ptr<state> mState;

  explicit subquery_service(std::unique_ptr<state> aState);

public:
  subquery_service(subquery_service&&) noexcept;
  subquery_service& operator=(subquery_service&&) noexcept;
  ~subquery_service();

  /** Connections are accepted by the threads of the context. The other service
   * is served by the same server, and must outlive it. */
  static result<subquery_service, subquery_service_error> Create(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    subquery_handler aHandler,
    grpc::Service* aOtherService = nullptr);

  /** Refuses new subqueries and gives running ones this long to end. */
  void Stop(milliseconds aTimeout);
};

}

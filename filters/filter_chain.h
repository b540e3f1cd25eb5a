#pragma once

#include "core/name_table.h"
#include "filters/request_context.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace hibiscusspool {

/** The filters of a chain. */
enum class filter_name
{
  Identify,
  Confirm,
  Admit,
  Quarantine,
  Claim,
  Plan,
  Scatter,
  Gather,
  Settle,
  Account,
  Route,
  Deliver,
  Authenticate,
  Turn,
  Quota,
  QuotaReturn,
};

template<>
inline constexpr name_table<filter_name, 16> kNames<filter_name>{ {
  { filter_name::Identify, "identify" },
  { filter_name::Confirm, "confirm" },
  { filter_name::Admit, "admit" },
  { filter_name::Quarantine, "quarantine" },
  { filter_name::Claim, "claim" },
  { filter_name::Plan, "plan" },
  { filter_name::Scatter, "scatter" },
  { filter_name::Gather, "gather" },
  { filter_name::Settle, "settle" },
  { filter_name::Account, "account" },
  { filter_name::Route, "route" },
  { filter_name::Deliver, "deliver" },
  { filter_name::Authenticate, "authenticate" },
  { filter_name::Turn, "turn" },
  { filter_name::Quota, "quota" },
  { filter_name::QuotaReturn, "quota_return" },
} };

using filter_hook =
  std::function<boost::asio::awaitable<void>(request_context&)>;

/** Condition under which a filter runs. */
enum class filter_condition
{
  /** Only if the request has not been refused. */
  NotRefused,
  /** For each request, including refused ones. */
  Always,
};

template<>
inline constexpr name_table<filter_condition, 2> kNames<filter_condition>{ {
  { filter_condition::NotRefused, "open" },
  { filter_condition::Always, "always" },
} };

/** A filter of the chain: a name and a hook, without state of its own. */
struct filter
{
  filter_name mName = filter_name::Identify;
  filter_condition mCondition = filter_condition::NotRefused;
  filter_hook mHook;
};

using filter_chain = std::vector<filter>;

/** Runs a request through the chain. */
boost::asio::awaitable<void>
RunChain(const filter_chain& aChain, request_context& aRequest);

}

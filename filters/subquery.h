#pragma once

#include "controllers/subquery_controller.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/routing/configuration.h"
#include "filters/forwarded_message.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusspool {

/** A part of a fan-out that one entry host performs for another. */
struct subquery
{
  /** Id of the caller's request. */
  request_id mRequest;
  request_id mId;
  team_id mTeam;
  configuration_number mConfiguration = 0;
  std::vector<service_id> mServices;
  std::shared_ptr<const forwarded_request> mForwarded;
  std::shared_ptr<const std::string> mBody;
  /** Time left to the request's deadline. */
  microseconds mTimeLeft{ 0 };
  /** Maximum time until the parts so far are reported. */
  microseconds mReportAfter{ 0 };
  std::size_t mTopRecords = 0;
  /** Header fields of each part that the caller's API needs. */
  std::vector<std::string> mPartFields;
};

/** A part of a subquery's result. */
struct subquery_part
{
  service_id mService;
  std::vector<header_field> mFields;
};

/** A service that has not answered yet. */
struct subquery_straggler
{
  service_id mService;
  /** Empty if no server could be asked yet. */
  server_id mServer;
};

/** A service of which the subquery has no part. */
struct subquery_failure
{
  service_id mService;
  /** The server that was asked last; empty if none was. */
  server_id mServer;
  bool mMayHaveRun = false;
};

/** Results of a subquery since its previous update. */
struct subquery_update
{
  /** The host does not serve the subquery, and no server was asked. */
  bool mIsRefused = false;
  std::vector<subquery_part> mParts;
  /** The greatest records of all parts of this update. */
  std::string mRecords;
  std::vector<subquery_straggler> mStragglers;
  std::vector<subquery_failure> mFailures;
  /** No update follows. An update with this set and without the outcome of all
   * services means that the host was lost. */
  bool mIsLast = false;
};

using subquery_callback = std::function<void(subquery_update)>;

/** How a subquery ended, for the choice of hosts. */
enum class subquery_end
{
  Complete,
  /** The request ended before the subquery did. */
  Cancelled,
  /** The host did not report in time. */
  Late,
  Refused,
  Lost,
};

template<>
inline constexpr name_table<subquery_end, 5> kNames<subquery_end>{ {
  { subquery_end::Complete, "complete" },
  { subquery_end::Cancelled, "cancelled" },
  { subquery_end::Late, "late" },
  { subquery_end::Refused, "refused" },
  { subquery_end::Lost, "lost" },
} };

struct subquery_hooks
{
  /** The subqueries of a fan-out; empty if this host asks all servers. */
  std::function<std::vector<assigned_subquery>(const std::vector<service_id>&,
                                               steady_time)>
    mPlan;
  /**
   * Sends a subquery and returns a function that cancels it. The callback is
   * called on the given executor.
   */
  std::function<std::function<void()>(const assigned_subquery&,
                                      subquery,
                                      boost::asio::any_io_executor,
                                      subquery_callback)>
    mSend;
  std::function<void(const host_id&, subquery_end, steady_time)> mOnEnd;
};

}

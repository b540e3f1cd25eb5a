#include "main/entry_role.h"

#include "core/address.h"
#include "core/background_task.h"
#include "core/log_event.h"
#include "drivers/quota_service.h"
#include "filters/confirm.h"
#include "filters/subquery_result.h"
#include "filters/turn.h"
#include "main/role_support.h"

#include <boost/asio/post.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Subqueries that this host performs at once; more are refused. */
constexpr std::size_t kMaxRunningSubqueries = 128;
/** Processor time of one attempt on a whole core. */
constexpr microseconds kAttemptProcessorTime{ 80 };
/** Smaller shares of a core count as this one. */
constexpr double kMinCpuShare = 0.01;

void
Refuse(const subquery& aSubquery,
       std::string_view aReason,
       const subquery_callback& aCallback)
{
  log_event("subquery_refused")
    .Add("request", aSubquery.mRequest.mValue)
    .Add("subquery", aSubquery.mId.mValue)
    .Add("configuration", aSubquery.mConfiguration)
    .Add("reason", aReason);
  subquery_update refused;
  refused.mIsRefused = true;
  refused.mIsLast = true;
  aCallback(std::move(refused));
}

}

subquery_config
ToSubqueryConfig(const settings& aSettings)
{
  subquery_config config;
  config.mSelf.mValue = aSettings.mHostId;
  config.mFailureDomain.mValue = aSettings.mHostFailureDomain;
  double share = std::max(kMinCpuShare, aSettings.mEntryCpuShare);
  config.mCosts.mAttempt = microseconds(static_cast<std::int64_t>(
    static_cast<double>(kAttemptProcessorTime.count()) / share));
  return config;
}

std::string
SubqueryAddress(const settings& aSettings)
{
  auto address = ParseAddress(aSettings.mEntrySubqueryAddress);
  if (!address) {
    return {};
  }
  std::int64_t port = address->mPort + aSettings.mEntrySubqueryPortOffset;
  return address->mIp + ":" + std::to_string(port);
}

subquery_hooks
entry_role::SubqueryHooks()
{
  subquery_hooks hooks;
  if (mSubqueryAddress.empty()) {
    return hooks;
  }
  hooks.mPlan = [this](const std::vector<service_id>& aServices,
                       steady_time aNow) {
    return mSubqueries.Plan(aServices, aNow);
  };
  hooks.mSend = [this](const assigned_subquery& aTarget,
                       const subquery& aSubquery,
                       asio::any_io_executor aExecutor,
                       subquery_callback aCallback) {
    return mSubqueryClient.Send(
      aTarget, aSubquery, std::move(aExecutor), std::move(aCallback));
  };
  hooks.mOnEnd =
    [this](const host_id& aHost, subquery_end aEnd, steady_time aNow) {
      bool hasFailed =
        aEnd != subquery_end::Complete && aEnd != subquery_end::Cancelled;
      mSubqueries.Finish(aHost, hasFailed, aNow);
      if (aEnd == subquery_end::Late) {
        // The connection may have gone silent; the next subquery opens a new
        // one.
        mSubqueryClient.DropChannel(aHost);
      }
    };
  return hooks;
}

result<void, role_error>
entry_role::SetUpSubqueries()
{
  auto mayForward = [this](steady_time aNow) { return MayForward(aNow); };
  scatter_hooks scatter = ForwardHooks();
  scatter.mSubqueries = {};
  filter_chain chain{
    MakeConfirm({ SteadyNow, mayForward }),
    MakeScatter(mBackends, mBudgets, mFingerprints, std::move(scatter)),
  };
  if (mSettings.mEntryAdmitByRank) {
    chain.insert(chain.end() - 1, MakeTurn(mStarts, SteadyNow));
  }
  mSubqueryChain = std::make_shared<const filter_chain>(std::move(chain));
  if (mSubqueryAddress.empty()) {
    return boost::outcome_v2::success();
  }
  mQuotaService =
    MakeQuotaService({ [this](const quota_request& aRequest) {
                        return mQuotas.Serve(aRequest, SteadyNow());
                      },
                       [this](const quota_notice& aNotice) {
                         mQuotas.OnNotice(aNotice, SteadyNow());
                       } });
  auto service = subquery_service::Create(
    mContext,
    mSubqueryAddress,
    [this](subquery aSubquery, subquery_callback aCallback) {
      return StartSubquery(std::move(aSubquery), std::move(aCallback));
    },
    mQuotaService.get());
  if (!service) {
    return Fail(role_error::CannotStart, service.error().mDetail);
  }
  mSubqueryService =
    std::make_unique<subquery_service>(std::move(service.value()));
  return boost::outcome_v2::success();
}

std::string_view
entry_role::KeyRefusal(const subquery& aSubquery, const route_table& aRoutes)
{
  bool hasTeam = aRoutes.RequiresKeys() &&
                 !mCallerFields.mTeamOf(*aSubquery.mForwarded).empty();
  if (!hasTeam) {
    return {};
  }
  switch (mCallerKeys.JudgeSubquery(aSubquery.mConfiguration, SteadyNow())) {
    case key_verdict::Usable:
      return {};
    case key_verdict::Stale:
      return "key_stale";
    case key_verdict::Removed:
      return "key_removed";
  }
  return {};
}

std::function<void()>
entry_role::StartSubquery(subquery aSubquery, subquery_callback aCallback)
{
  auto routes = mCatalog.Routes();
  bool isBehind =
    routes == nullptr || routes->Number() < aSubquery.mConfiguration;
  bool isBusy = mRunningSubqueries >= kMaxRunningSubqueries;
  if (isBehind || isBusy || mIsStopping) {
    Refuse(aSubquery, isBehind ? "behind" : "busy", aCallback);
    return [] {};
  }
  if (auto reason = KeyRefusal(aSubquery, *routes); !reason.empty()) {
    Refuse(aSubquery, reason, aCallback);
    return [] {};
  }
  ++mRunningSubqueries;
  auto caller = std::make_shared<caller_status>();
  auto executor = mWorkers->NextContext().get_executor();
  RunInBackground(
    executor,
    "subquery",
    RunSubquery(std::move(aSubquery), caller, std::move(aCallback)));
  return [executor, caller] {
    asio::post(executor, [caller] { caller->Disconnect(); });
  };
}

std::uint32_t
entry_role::PriorityOf(const subquery& aSubquery) const
{
  auto routes = mCatalog.Routes();
  const header_field* host = FindField(aSubquery.mForwarded->mFields, "host");
  if (routes == nullptr || host == nullptr) {
    return 0;
  }
  const std::string& target = aSubquery.mForwarded->mTarget;
  const resolved_route* route =
    routes->Find(host->mValue, target.substr(0, target.find('?')));
  return route == nullptr ? 0 : route->mRoute.mPriority;
}

asio::awaitable<void>
entry_role::RunSubquery(subquery aSubquery,
                        std::shared_ptr<caller_status> aCaller,
                        subquery_callback aCallback)
{
  steady_time started = SteadyNow();
  request_context context = ToContext(aSubquery, aCaller, aCallback, started);
  if (mCatalog.Routes()->RequiresKeys()) {
    AuthenticateSubquery(mCallerKeys, mCallerFields, context);
  }
  if (mSettings.mEntryAdmitByRank) {
    context.mPriority = PriorityOf(aSubquery);
  }
  co_await RunChain(*mSubqueryChain, context);
  --mRunningSubqueries;
  mStopWaiter.Notify();
  auto took = std::chrono::duration_cast<microseconds>(SteadyNow() - started);
  log_event line("subquery_served");
  line.Add("request", aSubquery.mRequest.mValue)
    .Add("subquery", aSubquery.mId.mValue)
    .Add("configuration", aSubquery.mConfiguration)
    .Add("services", aSubquery.mServices.size())
    .Add("attempts", context.mAttempts)
    .Add("missing", context.mMissing.size())
    .Add("took_us", took.count());
  if (context.mRefusal) {
    line.Add("refused", NameOf(context.mRefusal->mReason));
  }
  if (aCaller->mIsDisconnected) {
    line.Add("caller", "left");
  }
  aCallback(FinalUpdate(context));
}

}

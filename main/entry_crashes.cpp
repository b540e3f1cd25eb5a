#include "main/entry_role.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "drivers/connection_probe.h"
#include "main/role_support.h"

#include <boost/asio/strand.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kProbeTimeout{ 500 };
constexpr milliseconds kIncidentTimeout{ 1000 };
/** A request that was answered here this recently is not what crashed a server:
 * popular ones run beside the one that did. */
constexpr milliseconds kAnsweredTime{ 10'000 };
/** Minimum interval between this host's removals of suspicions, of which each
 * answer to a popular request would be one. */
constexpr milliseconds kLiftInterval{ 200 };

}

quarantine_hooks
entry_role::ForwardQuarantineHooks()
{
  quarantine_hooks hooks;
  hooks.mFindRecord = [this](const fingerprint_id& aFingerprint) {
    auto record = mCatalog.Quarantine(aFingerprint);
    bool isRefused = record && record->IsForwardRefused();
    return isRefused ? record : std::nullopt;
  };
  hooks.mIsSuspect = [this](const fingerprint_id& aFingerprint) {
    return mCatalog.Quarantine(aFingerprint).has_value();
  };
  hooks.mRequestTrial =
    [](request_context& /*aRequest*/) -> asio::awaitable<trial_verdict> {
    co_return trial_verdict::Refused;
  };
  return hooks;
}

void
entry_role::OnForwardAnswered(const fingerprint_id& aFingerprint)
{
  steady_time now = SteadyNow();
  mAnsweredRequests.SetHarmless(aFingerprint, now);
  if (mCatalog.Quarantine(aFingerprint)) {
    LiftSuspicion(aFingerprint, now);
  }
}

void
entry_role::LiftSuspicion(const fingerprint_id& aFingerprint, steady_time aNow)
{
  steady_time due{ steady_time::duration(mNextSuspicionLiftAt.load()) };
  if (aNow < due) {
    return;
  }
  mNextSuspicionLiftAt = (aNow + kLiftInterval).time_since_epoch().count();
  log_event("suspicion_lifted").Add("fingerprint", aFingerprint.mValue);
  RemoveQuarantine(aFingerprint);
}

server_fate
entry_role::FateOf(const server_start& aStart) const
{
  auto record = mBackends.FindServer(aStart.mServer);
  if (!record || record->mIncarnation != aStart.mIncarnation) {
    return server_fate::Ended;
  }
  bool isLeaving = record->mState == server_state::Draining || record->mHasLeft;
  if (isLeaving) {
    return server_fate::Left;
  }
  bool isGone = record->mState == server_state::Gone;
  return isGone ? server_fate::Ended : server_fate::Unchanged;
}

asio::awaitable<void>
entry_role::ProbeServer(due_probe aProbe)
{
  connect_result found =
    co_await ProbeConnection(aProbe.mAddress, kProbeTimeout);
  log_event("server_probed")
    .Add("server", aProbe.mStart.mServer.mValue)
    .Add("incarnation", aProbe.mStart.mIncarnation)
    .Add("address", aProbe.mAddress)
    .Add("connection", NameOf(found));
  mCrashes.OnProbe(aProbe.mStart, found);
}

void
entry_role::LiftSuspicions(steady_time aNow)
{
  for (const fingerprint_id& request : mCatalog.QuarantinedRequests()) {
    if (mAnsweredRequests.WasAnsweredSince(request, aNow - kAnsweredTime)) {
      LiftSuspicion(request, aNow);
    }
  }
}

asio::awaitable<void>
entry_role::RecordCrashes()
{
  steady_time now = SteadyNow();
  LiftSuspicions(now);
  if (mCrashes.IsEmpty()) {
    co_return;
  }
  for (due_probe& probe : mCrashes.TakeDueProbes(now)) {
    RunInBackground(
      asio::make_strand(mContext), "probe", ProbeServer(std::move(probe)));
  }
  change_command command;
  auto fate = [this](const server_start& aStart) { return FateOf(aStart); };
  for (const fingerprint_id& request : mCrashes.TakeConfirmed(fate, now)) {
    if (mAnsweredRequests.WasAnsweredSince(request, now - kAnsweredTime)) {
      continue;
    }
    log_event("request_suspected", log_event::severity::Warning)
      .Add("fingerprint", request.mValue);
    quarantine_record incident;
    incident.mFingerprint = request;
    incident.mIncidents = 1;
    command.mChanges.emplace_back(std::move(incident));
  }
  if (command.mChanges.empty()) {
    co_return;
  }
  auto outcomes = co_await mClient.Propose(std::move(command),
                                           SteadyNow() + kIncidentTimeout);
  if (!outcomes) {
    log_event("incidents_unrecorded", log_event::severity::Warning)
      .Add("cause", outcomes.error().mDetail);
  }
}

}

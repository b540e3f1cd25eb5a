#include "main/server_lease_manager.h"

#include "core/log_event.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time limit for committing a state transition. Servers wait a second for the
 * response, then announce themselves to another host. */
constexpr milliseconds kTransitionTimeout{ 900 };
/** Pause before an announcement is refused. Servers try the next host at once,
 * so that without it all of them would ask all control hosts again and again
 * while these elect a leader. */
constexpr milliseconds kRefusalPause{ 500 };

}

asio::awaitable<bool>
server_lease_manager::AwaitPermission()
{
  if (mHooks.mMayHoldLeases(mHooks.mNow())) {
    co_return true;
  }
  asio::steady_timer pause(co_await asio::this_coro::executor);
  pause.expires_after(kRefusalPause);
  co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return mHooks.mMayHoldLeases(mHooks.mNow());
}

asio::awaitable<announce_result>
server_lease_manager::HandleAnnouncement(server_record aRecord)
{
  bool mayHoldLeases = co_await AwaitPermission();
  if (!mayHoldLeases) {
    co_return announce_result{ announce_status::Unavailable,
                               "This host can't reach the control hosts." };
  }
  steady_time now = mHooks.mNow();
  aRecord.mLeaseHolder = mSelf;
  std::sort(aRecord.mSnapshots.begin(), aRecord.mSnapshots.end());
  auto recorded = mHooks.mFindServer(aRecord.mServer);
  if (recorded && !HasRecordChanged(*recorded, aRecord)) {
    mLeases.Renew(aRecord.mServer, now);
    co_return announce_result{};
  }
  log_index version = 0;
  if (recorded) {
    aRecord.mColdEpoch = recorded->mColdEpoch;
    version = recorded->mVersion;
  }
  co_return co_await Record(std::move(aRecord), version);
}

asio::awaitable<announce_result>
server_lease_manager::HandleLeave(server_id aServer)
{
  bool mayHoldLeases = co_await AwaitPermission();
  if (!mayHoldLeases) {
    co_return announce_result{ announce_status::Unavailable,
                               "This host can't reach the control hosts." };
  }
  auto recorded = mHooks.mFindServer(aServer);
  if (!recorded ||
      (recorded->mState == server_state::Gone && recorded->mHasLeft)) {
    co_return announce_result{};
  }
  server_record gone = *recorded;
  gone.mState = server_state::Gone;
  gone.mHasLeft = true;
  log_index version = gone.mVersion;
  co_return co_await Record(std::move(gone), version);
}

asio::awaitable<announce_result>
server_lease_manager::Record(server_record aRecord,
                             std::optional<log_index> aVersion)
{
  steady_time deadline = mHooks.mNow() + kTransitionTimeout;
  while (mHooks.mNow() < deadline) {
    record_change change = aRecord;
    auto outcome =
      co_await mHooks.mPropose(std::move(change), aVersion, deadline);
    if (!outcome) {
      break;
    }
    if (outcome->mVerdict == change_verdict::Conflict) {
      aVersion = outcome->mVersion;
      continue;
    }
    if (outcome->mVerdict != change_verdict::Accepted) {
      log_event("announcement_refused", log_event::severity::Warning)
        .Add("server", aRecord.mServer.mValue)
        .Add("verdict", NameOf(outcome->mVerdict))
        .Add("cause", outcome->mDetail);
      co_return announce_result{ announce_status::Refused, outcome->mDetail };
    }
    log_event("server_announced")
      .Add("server", aRecord.mServer.mValue)
      .Add("service", aRecord.mService.mValue)
      .Add("address", aRecord.mAddress)
      .Add("incarnation", aRecord.mIncarnation)
      .Add("state", NameOf(aRecord.mState))
      .Add("index", outcome->mIndex);
    if (aRecord.mState == server_state::Gone) {
      mLeases.Drop(aRecord.mServer);
    } else {
      mLeases.Renew(aRecord.mServer, mHooks.mNow());
    }
    co_await mHooks.mWaitForIndex(outcome->mIndex, deadline);
    co_return announce_result{};
  }
  co_return announce_result{ announce_status::Unavailable,
                             "The control hosts did not answer in time." };
}

asio::awaitable<void>
server_lease_manager::ExpireLeases()
{
  steady_time now = mHooks.mNow();
  if (!mHooks.mMayHoldLeases(now)) {
    co_return;
  }
  mLeases.StartMissingLeases(mHooks.mLeasedServers(), now);
  for (const server_id& server : mLeases.TakeExpired(now)) {
    auto record = mHooks.mFindServer(server);
    bool isHeldHere = record && record->mLeaseHolder == mSelf &&
                      record->mState != server_state::Gone;
    if (!isHeldHere) {
      continue;
    }
    log_event("server_lapsed").Add("server", server.mValue);
    record->mState = server_state::Gone;
    log_index version = record->mVersion;
    record_change change = std::move(*record);
    co_await mHooks.mPropose(
      std::move(change), version, mHooks.mNow() + kTransitionTimeout);
  }
}

}

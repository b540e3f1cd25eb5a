#include "main/server_sponsor.h"

#include "core/log_event.h"

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time limit for committing a state transition. */
constexpr milliseconds kTransitionTimeout{ 2000 };

}

asio::awaitable<announce_answer>
server_sponsor::Take(server_record aRecord)
{
  steady_time now = mHooks.mNow();
  if (!mHooks.mCanVouch(now)) {
    co_return announce_answer{ announce_verdict::Unavailable,
                               "This host can't reach the control hosts." };
  }
  aRecord.mSponsor = mSelf;
  std::sort(aRecord.mSnapshots.begin(), aRecord.mSnapshots.end());
  auto recorded = mHooks.mKnown(aRecord.mServer);
  if (recorded && !IsTransition(*recorded, aRecord)) {
    mLeases.Renew(aRecord.mServer, now);
    co_return announce_answer{};
  }
  log_index version = 0;
  if (recorded) {
    aRecord.mColdMark = recorded->mColdMark;
    version = recorded->mVersion;
  }
  co_return co_await Record(std::move(aRecord), version);
}

asio::awaitable<announce_answer>
server_sponsor::TakeLeave(server_id aServer)
{
  auto recorded = mHooks.mKnown(aServer);
  if (!recorded ||
      (recorded->mState == server_state::Gone && recorded->mHasLeft)) {
    co_return announce_answer{};
  }
  if (!mHooks.mCanVouch(mHooks.mNow())) {
    co_return announce_answer{ announce_verdict::Unavailable,
                               "This host can't reach the control hosts." };
  }
  server_record gone = *recorded;
  gone.mState = server_state::Gone;
  gone.mHasLeft = true;
  log_index version = gone.mVersion;
  co_return co_await Record(std::move(gone), version);
}

asio::awaitable<announce_answer>
server_sponsor::Record(server_record aRecord, std::optional<log_index> aVersion)
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
      co_return announce_answer{ announce_verdict::Refused, outcome->mDetail };
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
    co_return announce_answer{};
  }
  co_return announce_answer{ announce_verdict::Unavailable,
                             "The control hosts did not answer in time." };
}

asio::awaitable<void>
server_sponsor::Tend()
{
  steady_time now = mHooks.mNow();
  if (!mHooks.mCanVouch(now)) {
    co_return;
  }
  mLeases.Adopt(mHooks.mSponsored(), now);
  for (const server_id& server : mLeases.TakeLapsed(now)) {
    auto record = mHooks.mKnown(server);
    bool isHeldHere = record && record->mSponsor == mSelf &&
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

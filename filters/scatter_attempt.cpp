#include "filters/scatter_run.h"

#include "core/log_event.h"
#include "decisions/snapshot_choice.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr int kMostShedRounds = 20;
/** Least time without an answer before a hedge is thought of. */
constexpr microseconds kShortestHedge{ 1000 };

}

choice_request
scatter_run::Choice(const service_progress& aService) const
{
  choice_request choice;
  choice.mService = aService.mService;
  choice.mSnapshot = mSnapshot;
  choice.mAcceptsAnySnapshot = mKind != request_kind::Query;
  choice.mExcludedServers = aService.mExcludedServers;
  // A hedge or a repeat goes to another failure domain if it can.
  for (const auto& [number, flying] : aService.mFlying) {
    choice.mExcludedServers.push_back(flying.mPermit.mServer);
  }
  if (!MayTryAgain(aService)) {
    // No further server may get the request, but those that refused it may
    // get it again.
    choice.mAllowedServers = aService.mRefusedBy;
  }
  choice.mAvoidedDomain = aService.mFirstDomain;
  choice.mWorker = CurrentWorker();
  return choice;
}

void
scatter_run::StartAttempt(service_progress& aService,
                          attempt_reason aReason,
                          steady_time aNow)
{
  // A daemon that lost its lease starts nothing, nor repeats anything.
  if (!mHooks.mIsLeaseValid(aNow)) {
    GiveUp(aService, missing_reason::NoServer);
    return;
  }
  auto permit = mBackends.Choose(Choice(aService), aNow);
  if (!permit) {
    if (aReason != attempt_reason::Hedge) {
      WaitOrGiveUp(aService);
    }
    return;
  }
  Count(aService, aReason, aNow);
  auto hedgeAfter = mBackends.SlowThreshold(aService.mService);
  if (aReason != attempt_reason::Hedge && hedgeAfter) {
    aService.mHedgeAt = aNow + std::max(*hedgeAfter, kShortestHedge);
  }
  if (aReason != attempt_reason::Hedge && mHedgeCap) {
    aService.mHedgeAt = std::min(aService.mHedgeAt, aNow + *mHedgeCap);
  }
  if (aService.mFirstDomain.IsEmpty()) {
    aService.mFirstDomain = permit->mFailureDomain;
  }
  std::erase(aService.mTried, permit->mServer);
  std::erase(aService.mRefusedBy, permit->mServer);
  aService.mTried.push_back(permit->mServer);
  Launch(aService, aReason, std::move(*permit));
}

void
scatter_run::Count(service_progress& aService,
                   attempt_reason aReason,
                   steady_time aNow)
{
  ++mAttempts;
  switch (aReason) {
    case attempt_reason::Regular:
      mBudgets.OnRegular(aService.mService, aNow);
      return;
    case attempt_reason::Hedge:
      ++mHedges;
      return;
    case attempt_reason::Retry:
      ++mRetries;
      return;
  }
}

void
scatter_run::WaitOrGiveUp(service_progress& aService)
{
  auto held = mBackends.Snapshots({ aService.mService });
  const auto& snapshots = held.front().mSnapshots;
  bool isServed = !snapshots.empty();
  bool holds =
    std::binary_search(snapshots.begin(), snapshots.end(), mSnapshot);
  if (mKind == request_kind::Query && !holds) {
    mNeedsReplan = isServed;
    GiveUp(aService, missing_reason::NoServer);
    mChanged.cancel();
    return;
  }
  if (!isServed && mKind != request_kind::Query) {
    GiveUp(aService, missing_reason::NoServer);
    return;
  }
  if (!aService.mExcludedServers.empty()) {
    bool mayGoOn = (MayTryAgain(aService) || !aService.mRefusedBy.empty()) &&
                   aService.mShedRounds++ < kMostShedRounds;
    if (!mayGoOn) {
      GiveUp(aService, missing_reason::Failed);
      return;
    }
    // All servers turned it away: ask them again after a pause.
    aService.mExcludedServers.clear();
    aService.mStartAt =
      mHooks.mNow() + kShedPause * std::min(8, aService.mShedRounds);
    return;
  }
  aService.mWaitsForPlace = true;
  std::size_t place = PlaceOf(aService.mService);
  std::weak_ptr<scatter_run> weak = weak_from_this();
  mBackends.NotifyOnCapacity(
    aService.mService, [weak, place, plan = mPlan, executor = mExecutor] {
      asio::post(executor, [weak, place, plan] {
        auto self = weak.lock();
        if (self && self->mPlan == plan) {
          self->mServices[place].mWaitsForPlace = false;
          self->mChanged.cancel();
        }
      });
    });
}

void
scatter_run::Launch(service_progress& aService,
                    attempt_reason aReason,
                    attempt_permit aPermit)
{
  attempt_number number = mNextAttempt++;
  flying_attempt& flying = aService.mFlying[number];
  flying.mPermit = aPermit;
  flying.mReason = aReason;
  flying.mCancel = std::make_unique<asio::cancellation_signal>();
  server_request order;
  order.mPermit = std::move(aPermit);
  order.mKind = mKind;
  order.mAttemptId = mHooks.mNewAttemptId();
  order.mTeam = mTeam;
  order.mKey = mKey;
  order.mSnapshot = mSnapshot;
  order.mDeadline = mDeadline;
  // The outcome of a run is worth knowing even after its caller was told,
  // and a cold server's slot is taken until the server says otherwise.
  bool isKept = mKind == request_kind::Run || order.mPermit.mIsCold;
  order.mGiveUpAt = isKept ? mGiveUpAt : mDeadline;
  order.mBody = mBody;
  order.mForwarded = mForwarded;
  order.mIsPart = mIsMerged;
  asio::co_spawn(
    mExecutor,
    Attempt(shared_from_this(),
            PlaceOf(aService.mService),
            number,
            mPlan,
            std::move(order)),
    asio::bind_cancellation_slot(flying.mCancel->slot(), asio::detached));
}

asio::awaitable<void>
scatter_run::Attempt(std::shared_ptr<scatter_run> aRun,
                     std::size_t aPlace,
                     attempt_number aNumber,
                     int aPlan,
                     server_request aOrder)
{
  // The attempt's own reporting must not be cut by its cancellation.
  co_await asio::this_coro::throw_if_cancelled(false);
  attempt_permit permit = aOrder.mPermit;
  attempt_result answer = co_await aRun->mHooks.mSendAttempt(std::move(aOrder));
  steady_time now = aRun->mHooks.mNow();
  attempt_report report;
  report.mStatus = answer.mStatus;
  report.mConnection = answer.mConnection;
  report.mDuration =
    std::chrono::duration_cast<microseconds>(now - permit.mStartedAt);
  aRun->mBackends.Finish(permit, report, now);
  if (!aRun->mIsEnded && aRun->mPlan == aPlan) {
    aRun->OnDone(aPlace, aNumber, std::move(answer));
    co_return;
  }
  bool isLate = answer.mStatus == attempt_status::Answered &&
                aRun->mKind == request_kind::Run && aRun->mOnLateResponse;
  if (isLate) {
    aRun->mOnLateResponse(std::move(answer.mResponse.mBody));
  }
}

void
scatter_run::OnDone(std::size_t aPlace,
                    attempt_number aNumber,
                    attempt_result aAnswer)
{
  service_progress& service = mServices[aPlace];
  auto node = service.mFlying.extract(aNumber);
  bool ranNothing = aAnswer.mStatus == attempt_status::NotSent ||
                    aAnswer.mStatus == attempt_status::Shed;
  mWasSent = mWasSent || !ranNothing;
  const server_id& server = node.mapped().mPermit.mServer;
  if (aAnswer.mStatus == attempt_status::NotSent) {
    std::erase(service.mTried, server);
  }
  if (aAnswer.mStatus == attempt_status::Shed) {
    service.mRefusedBy.push_back(server);
  }
  NoteFailure(service, node.mapped(), aAnswer);
  if (!service.mIsDone) {
    Judge(service, node.mapped().mPermit, std::move(aAnswer));
  }
  mChanged.cancel();
}

void
scatter_run::NoteFailure(const service_progress& aService,
                         const flying_attempt& aAttempt,
                         attempt_result& aAnswer)
{
  bool isPlain = aAnswer.mStatus == attempt_status::Answered ||
                 aAnswer.mStatus == attempt_status::Cancelled;
  if (isPlain || mForwarded == nullptr) {
    return;
  }
  log_event("attempt_failed")
    .Add("request", mRequest.mValue)
    .Add("service", aService.mService.mValue)
    .Add("server", aAttempt.mPermit.mServer.mValue)
    .Add("address", aAttempt.mPermit.mAddress)
    .Add("reason", NameOf(aAttempt.mReason))
    .Add("status", NameOf(aAnswer.mStatus))
    .Add("code", aAnswer.mResponse.mStatus)
    .Add("tried", aService.mTried.size());
  if (aAnswer.mStatus == attempt_status::Failed) {
    mFailedResponse = std::move(aAnswer.mResponse);
  }
}

void
scatter_run::Cancel(service_progress& aService)
{
  for (auto& [number, flying] : aService.mFlying) {
    if (!flying.mPermit.mIsCold) {
      flying.mCancel->emit(asio::cancellation_type::terminal);
    }
  }
}

}

#include "decisions/quota/quota_gate.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Requests admitted within this time of the first are reported together. */
constexpr milliseconds kGrain{ 50 };
/** Longest time for which the owner's word that there is no room is taken,
 * since requests that did not run make room earlier. */
constexpr milliseconds kMaxNoRoom{ 1000 };
/** Interval between the returns of requests that are refused without asking. */
constexpr microseconds kReturnInterval{ 20'000 };

}

void
quota_gate::SetTerms(milliseconds aWindow, const quota_terms& aTerms)
{
  mWindow = aWindow;
  if (aTerms.mConfiguration >= mTerms.mConfiguration) {
    mTerms = aTerms;
  }
}

steady_time
quota_gate::NextReturn(steady_time aNow)
{
  return mReturns.TakeTurn(mRoomAt, kReturnInterval, mWindow, aNow);
}

void
quota_gate::Admit(steady_time aNow)
{
  bool isSame = !mSpendings.empty() && aNow - mSpendings.back().mFrom < kGrain;
  if (isSame) {
    mSpendings.back().mAt = std::max(mSpendings.back().mAt, aNow);
    ++mSpendings.back().mCount;
  } else {
    mSpendings.push_back({ aNow, aNow, 1 });
  }
  ++mVersion;
}

std::uint64_t
quota_gate::BeginAsk()
{
  mOpenAsks.insert(++mLastAsk);
  return mLastAsk;
}

void
quota_gate::AdmitGranted(std::uint64_t aAsk,
                         const quota_listener& aListener,
                         steady_time aNow)
{
  mOpenAsks.erase(aAsk);
  // The listener counts the grant, so it needn't be told of the request.
  bool isTold = mVersion == mToldVersion && mTold == aListener;
  Admit(aNow);
  if (isTold) {
    mToldVersion = mVersion;
  }
}

void
quota_gate::EndAsk(std::uint64_t aAsk)
{
  mOpenAsks.erase(aAsk);
}

void
quota_gate::Return(steady_time aAdmittedAt, steady_time aNow)
{
  Expire(aNow);
  auto found = std::find_if(
    mSpendings.begin(), mSpendings.end(), [&](const spending& aSpending) {
      return aSpending.mAt >= aAdmittedAt;
    });
  if (found == mSpendings.end()) {
    return;
  }
  if (--found->mCount == 0) {
    mSpendings.erase(found);
  }
  ++mVersion;
}

std::uint64_t
quota_gate::Settled() const
{
  return mOpenAsks.empty() ? mLastAsk : *mOpenAsks.begin() - 1;
}

quota_item
quota_gate::MakeItem(const team_id& aTeam, std::uint64_t aAsk, steady_time aNow)
{
  Expire(aNow);
  quota_item item;
  item.mTeam = aTeam;
  item.mTerms = mTerms;
  item.mAsk = aAsk;
  item.mSettled = Settled();
  for (const spending& spent : mSpendings) {
    item.mSpendings.push_back(
      { std::chrono::floor<milliseconds>(aNow - spent.mAt), spent.mCount });
  }
  return item;
}

void
quota_gate::Apply(const quota_answer& aAnswer, steady_time aNow)
{
  if (aAnswer.mRole == quota_role::None) {
    return;
  }
  if (aAnswer.mMeteredFor) {
    mMeteredUntil = aNow + *aAnswer.mMeteredFor;
  }
  bool isFull = aAnswer.mRole == quota_role::Owner && !aAnswer.mIsGranted &&
                aAnswer.mRoomIn > milliseconds(0);
  if (isFull) {
    mRoomAt = aNow + aAnswer.mRoomIn;
    mNoRoomUntil = aNow + std::min(aAnswer.mRoomIn, kMaxNoRoom);
  }
}

void
quota_gate::OnNotice(milliseconds aMeteredFor, steady_time aNow)
{
  mMeteredUntil = std::max(mMeteredUntil, aNow + aMeteredFor);
}

void
quota_gate::Follow(const host_id& aDeputy, milliseconds aTime, steady_time aNow)
{
  mFollowed = aDeputy;
  mFollowUntil = aNow + aTime;
  // The deputy must know that this host follows it, also without requests.
  ++mVersion;
}

void
quota_gate::OnTold(const quota_listener& aListener, std::uint64_t aVersion)
{
  mTold = aListener;
  mToldVersion = std::max(mToldVersion, aVersion);
}

bool
quota_gate::HasNewsFor(const quota_listener& aListener) const
{
  bool isNew = mVersion != mToldVersion;
  return isNew || (!mSpendings.empty() && mTold != aListener);
}

void
quota_gate::Expire(steady_time aNow)
{
  std::erase_if(mSpendings, [&](const spending& aSpending) {
    return aSpending.mAt <= aNow - mWindow;
  });
}

bool
quota_gate::IsIdle(steady_time aNow) const
{
  bool isSpent = mSpendings.empty() || mSpendings.back().mAt <= aNow - mWindow;
  return isSpent && mOpenAsks.empty() && !IsMetered(aNow) &&
         Followed(aNow).IsEmpty();
}

std::size_t
quota_gate::Spent() const
{
  std::size_t count = 0;
  for (const spending& spent : mSpendings) {
    count += spent.mCount;
  }
  return count;
}

}

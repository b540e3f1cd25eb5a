#include "controllers/quota_controller.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscusspool {

namespace {

/** Time for which a host that did not answer isn't asked again. */
constexpr milliseconds kSuspectTime{ 500 };
/** Time limit for the answer to a report, which no request waits for. */
constexpr milliseconds kReportTimeout{ 300 };
/** Time after which an owner that the deputy asks counts as silent. A busy one
 * that still grants must not be replaced: both would grant the quota. */
constexpr milliseconds kProbeTimeout{ 180 };
/** Time for which hosts follow a deputy, and after which the deputy asks the
 * owner again and, if needed, renews it. */
constexpr milliseconds kFollowTime{ 4000 };
constexpr milliseconds kReclaimTime{ 2000 };
/** When a request may return to a host that has no part of the team's quota and
 * reaches neither owner nor deputy. */
constexpr milliseconds kLocalRetry{ 1000 };

milliseconds
Until(steady_time aAt, steady_time aNow)
{
  return std::chrono::ceil<milliseconds>(
    std::max(steady_time::duration(0), aAt - aNow));
}

quota_listener
ListenerOf(const quota_target& aTarget)
{
  return { aTarget.mHost, aTarget.mIncarnation };
}

quota_basis
BasisOf(quota_role aRole)
{
  return aRole == quota_role::Owner ? quota_basis::Owner : quota_basis::Deputy;
}

}

void
quota_controller::SetHosts(const std::vector<entry_host_record>& aHosts,
                           steady_time aNow)
{
  std::vector<entry_host_record> sorted = aHosts;
  std::sort(sorted.begin(),
            sorted.end(),
            [](const entry_host_record& aOne, const entry_host_record& aOther) {
              return aOne.mHost < aOther.mHost;
            });
  auto made = std::make_shared<view>();
  made->mSince = aNow;
  for (const entry_host_record& record : sorted) {
    made->mKnown.push_back(record.mHost);
    bool isServing = record.mState == entry_host_state::Serving &&
                     !record.mSubqueryAddress.empty();
    if (isServing) {
      made->mHosts.push_back(record.mHost);
      made->mTargets.push_back(
        { record.mHost, record.mIncarnation, record.mSubqueryAddress });
    }
  }
  {
    std::lock_guard guard(mViewLock);
    bool isSame = !mViews.empty() && mViews.back()->mKnown == made->mKnown &&
                  mViews.back()->mTargets == made->mTargets;
    if (isSame) {
      return;
    }
    mViews.push_back(made);
    while (mViews.size() > 1 && mViews[1]->mSince <= aNow - mConfig.mHandover) {
      mViews.erase(mViews.begin());
    }
  }
  if (mGates.Count() > 0) {
    mHooks.mOnNews();
  }
}

void
quota_controller::OnConfirmed(steady_time aNow)
{
  if (mHooks.mConfirmedAge(aNow) >= mConfig.mHandover) {
    mRegainedAt = aNow.time_since_epoch().count();
  }
}

std::shared_ptr<const quota_controller::view>
quota_controller::View() const
{
  static const auto kNoHosts = std::make_shared<const view>();
  std::lock_guard guard(mViewLock);
  return mViews.empty() ? kNoHosts : mViews.back();
}

quota_controller::owner_list
quota_controller::OwnersOf(const team_id& aTeam, const view& aView)
{
  owner_list owners;
  for (std::size_t position : RankOwners(aTeam, aView.mHosts)) {
    owners.push_back(aView.mTargets[position]);
  }
  return owners;
}

quota_standing
quota_controller::StandingOf(const team_id& aTeam, steady_time aNow) const
{
  std::vector<std::shared_ptr<const view>> views;
  {
    std::lock_guard guard(mViewLock);
    views = mViews;
  }
  quota_standing standing;
  if (views.empty()) {
    return standing;
  }
  auto isOwnerIn = [&](const view& aView) {
    owner_list owners = OwnersOf(aTeam, aView);
    return !owners.empty() && owners.front().mHost == mConfig.mSelf;
  };
  const view& latest = *views.back();
  standing.mKnownHosts = latest.mKnown.size();
  standing.mServingFraction = static_cast<double>(latest.mHosts.size()) /
                              static_cast<double>(latest.mKnown.size());
  owner_list owners = OwnersOf(aTeam, latest);
  if (!owners.empty() && owners.front().mHost == mConfig.mSelf) {
    if (mHooks.mConfirmedAge(aNow) >= mConfig.mHandover) {
      // Others may have replaced this host, which only serves those that are
      // out of contact with it.
      standing.mRole = quota_role::Deputy;
      return standing;
    }
    steady_time regained{ steady_time::duration(mRegainedAt.load()) };
    bool isCertain =
      aNow - std::max(mConfig.mStartedAt, regained) >= mConfig.mHandover;
    for (std::size_t number = 0; number + 1 < views.size(); ++number) {
      bool wasInForce = views[number + 1]->mSince > aNow - mConfig.mHandover;
      isCertain = isCertain && (!wasInForce || isOwnerIn(*views[number]));
    }
    standing.mRole = isCertain ? quota_role::Owner : quota_role::Provisional;
  } else if (owners.size() > 1 && owners[1].mHost == mConfig.mSelf) {
    standing.mRole = quota_role::Deputy;
  }
  return standing;
}

bool
quota_controller::IsSuspect(const host_id& aHost, steady_time aNow) const
{
  auto until = mSuspects.Get(aHost);
  return until && aNow < *until;
}

void
quota_controller::MarkSuspect(const host_id& aHost, steady_time aNow)
{
  mSuspects.Set(aHost, aNow + kSuspectTime);
  Count([](quota_counts& aCounts) { ++aCounts.mFailedMessages; });
}

quota_controller::owner_list
quota_controller::CandidatesOf(const team_id& aTeam, steady_time aNow)
{
  host_id followed;
  mGates.UpdateIfPresent(
    aTeam, [&](const quota_gate& aGate) { followed = aGate.Followed(aNow); });
  owner_list owners = OwnersOf(aTeam, *View());
  auto found = std::find_if(
    owners.begin(), owners.end(), [&](const quota_target& aTarget) {
      return aTarget.mHost == followed;
    });
  if (found != owners.end()) {
    return { *found };
  }
  return owners;
}

quota_controller::owner_list
quota_controller::ListenersOf(const team_id& aTeam, steady_time aNow)
{
  owner_list listeners = CandidatesOf(aTeam, aNow);
  std::erase_if(listeners, [&](const quota_target& aTarget) {
    return IsSuspect(aTarget.mHost, aNow);
  });
  return listeners;
}

void
quota_controller::Count(const std::function<void(quota_counts&)>& aBody)
{
  std::lock_guard guard(mCountsLock);
  aBody(mCounts);
}

quota_counts
quota_controller::Counts() const
{
  std::lock_guard guard(mCountsLock);
  return mCounts;
}

quota_request
quota_controller::NewRequest()
{
  quota_request request;
  request.mHost = mConfig.mSelf;
  request.mIncarnation = mConfig.mIncarnation;
  request.mSequence = ++mSequence;
  return request;
}

quota_step
quota_controller::Admitted(quota_basis aBasis)
{
  Count([&](quota_counts& aCounts) {
    ++aCounts.mAdmitted[static_cast<std::size_t>(aBasis)];
  });
  quota_step step;
  step.mVerdict = quota_verdict::Admitted;
  step.mBasis = aBasis;
  return step;
}

quota_step
quota_controller::Refused(quota_basis aBasis, milliseconds aRetryAfter)
{
  Count([&](quota_counts& aCounts) {
    ++aCounts.mRefused[static_cast<std::size_t>(aBasis)];
  });
  quota_step step;
  step.mVerdict = quota_verdict::Refused;
  step.mBasis = aBasis;
  step.mRetryAfter = std::max(aRetryAfter, milliseconds(1));
  return step;
}

quota_step
quota_controller::Begin(quota_ticket& aTicket, steady_time aNow)
{
  bool hasListener = !ListenersOf(aTicket.mTeam, aNow).empty();
  bool isAdmitted = false;
  std::optional<steady_time> returnAt;
  mGates.Update(aTicket.mTeam, [&](quota_gate& aGate) {
    aGate.SetTerms(mConfig.mBounds.mWindow, aTicket.mTerms);
    if (aNow < aGate.NoRoomUntil()) {
      returnAt = aGate.NextReturn(aNow);
    } else if (hasListener && !aGate.IsMetered(aNow)) {
      aGate.Admit(aNow);
      isAdmitted = true;
    }
  });
  if (returnAt) {
    return Refused(quota_basis::Owner, Until(*returnAt, aNow));
  }
  if (isAdmitted) {
    mHooks.mOnNews();
    return Admitted(quota_basis::Open);
  }
  return AskNext(aTicket, aNow);
}

quota_step
quota_controller::AskNext(quota_ticket& aTicket, steady_time aNow)
{
  owner_list owners = CandidatesOf(aTicket.mTeam, aNow);
  while (aTicket.mTries < owners.size()) {
    aTicket.mTarget = owners[aTicket.mTries++];
    if (IsSuspect(aTicket.mTarget.mHost, aNow)) {
      continue;
    }
    quota_message message;
    message.mTarget = aTicket.mTarget;
    message.mTimeout = mConfig.mAskTimeout;
    message.mRequest = NewRequest();
    mGates.Update(aTicket.mTeam, [&](quota_gate& aGate) {
      if (aTicket.mAsk == 0) {
        aTicket.mAsk = aGate.BeginAsk();
      }
      aTicket.mVersion = aGate.Version();
      message.mRequest.mItems.push_back(
        aGate.MakeItem(aTicket.mTeam, aTicket.mAsk, aNow));
    });
    Count([](quota_counts& aCounts) { ++aCounts.mAsks; });
    if (aTicket.mTarget.mHost != mConfig.mSelf) {
      quota_step step;
      step.mMessage = std::move(message);
      return step;
    }
    quota_answer answer =
      ServeItem(message.mRequest, message.mRequest.mItems.front(), aNow);
    if (answer.mRole != quota_role::None) {
      return ApplyAnswer(aTicket, answer, aNow);
    }
  }
  return DecideLocally(aTicket, aNow);
}

quota_step
quota_controller::Continue(quota_ticket& aTicket,
                           const std::optional<quota_reply>& aReply,
                           steady_time aNow)
{
  if (!aReply) {
    MarkSuspect(aTicket.mTarget.mHost, aNow);
    return AskNext(aTicket, aNow);
  }
  bool isAnswered = !aReply->mAnswers.empty() &&
                    aReply->mAnswers.front().mRole != quota_role::None;
  return isAnswered ? ApplyAnswer(aTicket, aReply->mAnswers.front(), aNow)
                    : AskNext(aTicket, aNow);
}

quota_step
quota_controller::ApplyAnswer(const quota_ticket& aTicket,
                              const quota_answer& aAnswer,
                              steady_time aNow)
{
  quota_listener listener = ListenerOf(aTicket.mTarget);
  mGates.Update(aTicket.mTeam, [&](quota_gate& aGate) {
    aGate.OnTold(listener, aTicket.mVersion);
    aGate.Apply(aAnswer, aNow);
    if (aAnswer.mIsGranted) {
      aGate.AdmitGranted(aTicket.mAsk, listener, aNow);
    } else {
      aGate.EndAsk(aTicket.mAsk);
    }
  });
  quota_basis basis = BasisOf(aAnswer.mRole);
  return aAnswer.mIsGranted ? Admitted(basis)
                            : Refused(basis, aAnswer.mRetryIn);
}

quota_step
quota_controller::DecideLocally(const quota_ticket& aTicket, steady_time aNow)
{
  quota_limits limits = LimitsOf(aTicket.mTerms, mConfig.mBounds);
  std::vector<host_id> known = View()->mKnown;
  if (known.empty()) {
    known.push_back(mConfig.mSelf);
  }
  std::size_t share = DealtShare(
    limits.mQuota + limits.mLocal, aTicket.mTeam, mConfig.mSelf, known);
  bool isAdmitted = false;
  mGates.Update(aTicket.mTeam, [&](quota_gate& aGate) {
    aGate.EndAsk(aTicket.mAsk);
    aGate.Expire(aNow);
    if (aGate.Spent() < share) {
      aGate.Admit(aNow);
      isAdmitted = true;
    }
  });
  if (!isAdmitted) {
    return Refused(quota_basis::Local, kLocalRetry);
  }
  mHooks.mOnNews();
  return Admitted(quota_basis::Local);
}

void
quota_controller::Return(const team_id& aTeam,
                         steady_time aAdmittedAt,
                         steady_time aNow)
{
  mGates.UpdateIfPresent(
    aTeam, [&](quota_gate& aGate) { aGate.Return(aAdmittedAt, aNow); });
  Count([](quota_counts& aCounts) { ++aCounts.mReturned; });
  mHooks.mOnNews();
}

std::vector<team_id>
quota_controller::ActiveTeams(steady_time aNow)
{
  mGates.EraseIf([&](const team_id& /*aTeam*/, const quota_gate& aGate) {
    return aGate.IsIdle(aNow);
  });
  mAccounts.EraseIf(
    [&](const team_id& /*aTeam*/, const quota_account& aAccount) {
      return aAccount.IsIdle(aNow);
    });
  std::vector<team_id> teams;
  mGates.ForEach([&](const team_id& aTeam, quota_gate& /*aGate*/) {
    teams.push_back(aTeam);
  });
  return teams;
}

std::optional<quota_item>
quota_controller::TakeItem(const team_id& aTeam,
                           const quota_target& aTarget,
                           steady_time aNow,
                           std::uint64_t& aVersion)
{
  std::optional<quota_item> item;
  mGates.UpdateIfPresent(aTeam, [&](quota_gate& aGate) {
    if (aGate.HasNewsFor(ListenerOf(aTarget))) {
      aVersion = aGate.Version();
      item = aGate.MakeItem(aTeam, 0, aNow);
    }
  });
  return item;
}

std::vector<quota_message>
quota_controller::TakeReports(steady_time aNow)
{
  std::map<host_id, quota_message> byHost;
  for (const team_id& team : ActiveTeams(aNow)) {
    owner_list listeners = ListenersOf(team, aNow);
    if (listeners.empty()) {
      continue;
    }
    std::uint64_t version = 0;
    auto item = TakeItem(team, listeners.front(), aNow, version);
    if (!item) {
      continue;
    }
    quota_message& message = byHost[listeners.front().mHost];
    message.mTarget = listeners.front();
    message.mRequest.mItems.push_back(std::move(*item));
    message.mVersions.push_back(version);
  }
  std::vector<quota_message> messages;
  for (auto& [host, message] : byHost) {
    quota_request header = NewRequest();
    header.mItems = std::move(message.mRequest.mItems);
    message.mRequest = std::move(header);
    message.mTimeout = kReportTimeout;
    if (host == mConfig.mSelf) {
      OnReported(message, Serve(message.mRequest, aNow), aNow);
      continue;
    }
    Count([](quota_counts& aCounts) { ++aCounts.mReports; });
    messages.push_back(std::move(message));
  }
  return messages;
}

bool
quota_controller::HasNews(steady_time aNow)
{
  for (const team_id& team : ActiveTeams(aNow)) {
    owner_list listeners = ListenersOf(team, aNow);
    owner_list owners = CandidatesOf(team, aNow);
    bool hasNews = false;
    mGates.UpdateIfPresent(team, [&](const quota_gate& aGate) {
      // A host that follows the deputy must tell the owner when that ends.
      hasNews = !aGate.Followed(aNow).IsEmpty();
      if (!hasNews && !owners.empty()) {
        hasNews = aGate.HasNewsFor(
          ListenerOf(listeners.empty() ? owners.front() : listeners.front()));
      }
    });
    if (hasNews) {
      return true;
    }
  }
  return false;
}

void
quota_controller::OnReported(const quota_message& aMessage,
                             const std::optional<quota_reply>& aReply,
                             steady_time aNow)
{
  if (!aReply) {
    MarkSuspect(aMessage.mTarget.mHost, aNow);
    return;
  }
  std::size_t answered =
    std::min(aReply->mAnswers.size(), aMessage.mRequest.mItems.size());
  for (std::size_t number = 0; number < answered; ++number) {
    const quota_answer& answer = aReply->mAnswers[number];
    if (answer.mRole == quota_role::None) {
      continue;
    }
    mGates.UpdateIfPresent(
      aMessage.mRequest.mItems[number].mTeam, [&](quota_gate& aGate) {
        aGate.OnTold(ListenerOf(aMessage.mTarget), aMessage.mVersions[number]);
        aGate.Apply(answer, aNow);
      });
  }
}

quota_answer
quota_controller::ServeItem(const quota_request& aRequest,
                            const quota_item& aItem,
                            steady_time aNow)
{
  quota_standing standing = StandingOf(aItem.mTeam, aNow);
  quota_answer answer;
  answer.mTeam = aItem.mTeam;
  if (standing.mRole == quota_role::None) {
    return answer;
  }
  quota_change change;
  std::optional<milliseconds> meteredFor;
  double used = 0;
  mAccounts.Update(aItem.mTeam, [&](quota_account& aAccount) {
    aAccount.SetBounds(mConfig.mBounds);
    aAccount.Record(aRequest, aItem, aNow);
    answer = aAccount.Answer(aRequest, aItem, standing, aNow, change);
    meteredFor = aAccount.TakeNotice(aNow);
    used = aAccount.Used(aNow);
  });
  if (change.mBecameMetered || change.mBecameOpen) {
    mHooks.mOnState(aItem.mTeam, change.mBecameMetered, used);
  }
  if (standing.mRole == quota_role::Deputy) {
    ProbeOwner(aItem.mTeam, aNow);
  }
  if (meteredFor) {
    quota_notice notice;
    notice.mTeam = aItem.mTeam;
    notice.mMeteredFor = *meteredFor;
    OnNotice(notice, aNow);
    std::vector<host_id> others = View()->mHosts;
    std::erase(others, mConfig.mSelf);
    SpreadNotice(notice, others);
  }
  return answer;
}

void
quota_controller::ProbeOwner(const team_id& aTeam, steady_time aNow)
{
  owner_list owners = OwnersOf(aTeam, *View());
  bool isPossible = !owners.empty() && owners.front().mHost != mConfig.mSelf &&
                    mHooks.mConfirmedAge(aNow) < mConfig.mHandover;
  bool isDue = isPossible && mClaims.Update(aTeam, [&](claim& aClaim) {
    bool isFree = !aClaim.mIsProbing && aNow >= aClaim.mNextProbeAt;
    aClaim.mIsProbing = aClaim.mIsProbing || isFree;
    return isFree;
  });
  if (!isDue) {
    return;
  }
  quota_message message;
  message.mTarget = owners.front();
  message.mTimeout = kProbeTimeout;
  message.mRequest = NewRequest();
  mGates.Update(aTeam, [&](quota_gate& aGate) {
    message.mVersions = { aGate.Version() };
    message.mRequest.mItems = { aGate.MakeItem(aTeam, 0, aNow) };
  });
  mHooks.mProbe(message);
}

void
quota_controller::OnProbed(const quota_message& aMessage,
                           const std::optional<quota_reply>& aReply,
                           steady_time aNow)
{
  const team_id& team = aMessage.mRequest.mItems.front().mTeam;
  bool isServing = aReply && !aReply->mAnswers.empty() &&
                   (aReply->mAnswers.front().mRole == quota_role::Owner ||
                    aReply->mAnswers.front().mRole == quota_role::Provisional);
  mClaims.Update(team, [&](claim& aClaim) {
    aClaim.mIsProbing = false;
    aClaim.mNextProbeAt = aNow + (isServing ? kSuspectTime : kReclaimTime);
  });
  if (isServing) {
    return;
  }
  Count([](quota_counts& aCounts) { ++aCounts.mTakeovers; });
  mHooks.mOnTakeover(team, aMessage.mTarget.mHost);
  quota_notice notice;
  notice.mTeam = team;
  notice.mFollow = mConfig.mSelf;
  notice.mFollowFor = kFollowTime;
  OnNotice(notice, aNow);
  std::vector<host_id> others = View()->mHosts;
  std::erase(others, mConfig.mSelf);
  std::erase(others, aMessage.mTarget.mHost);
  SpreadNotice(notice, others);
}

quota_reply
quota_controller::Serve(const quota_request& aRequest, steady_time aNow)
{
  quota_reply reply;
  for (const quota_item& item : aRequest.mItems) {
    reply.mAnswers.push_back(ServeItem(aRequest, item, aNow));
  }
  return reply;
}

void
quota_controller::SpreadNotice(const quota_notice& aNotice,
                               const std::vector<host_id>& aHosts)
{
  // Groups as large as their number is, so that no host sends many messages.
  auto groupSize = static_cast<std::size_t>(
    std::ceil(std::sqrt(static_cast<double>(aHosts.size()))));
  auto latest = View();
  for (std::size_t start = 0; start < aHosts.size(); start += groupSize) {
    std::size_t end = std::min(start + groupSize, aHosts.size());
    quota_notice_message message;
    message.mTarget.mHost = aHosts[start];
    message.mNotice = aNotice;
    message.mNotice.mRelayTo.assign(
      aHosts.begin() + static_cast<std::ptrdiff_t>(start) + 1,
      aHosts.begin() + static_cast<std::ptrdiff_t>(end));
    SendNotice(std::move(message), *latest);
  }
}

void
quota_controller::SendNotice(quota_notice_message aMessage, const view& aView)
{
  auto found =
    std::find(aView.mHosts.begin(), aView.mHosts.end(), aMessage.mTarget.mHost);
  if (found == aView.mHosts.end()) {
    OnNoticeFailed(aMessage);
    return;
  }
  aMessage.mTarget =
    aView.mTargets[static_cast<std::size_t>(found - aView.mHosts.begin())];
  Count([](quota_counts& aCounts) { ++aCounts.mNotices; });
  mHooks.mSendNotice(aMessage);
}

void
quota_controller::OnNotice(const quota_notice& aNotice, steady_time aNow)
{
  milliseconds meteredFor =
    std::min(aNotice.mMeteredFor, mConfig.mBounds.mWindow);
  bool isFollowing = !aNotice.mFollow.IsEmpty();
  mGates.Update(aNotice.mTeam, [&](quota_gate& aGate) {
    aGate.OnNotice(meteredFor, aNow);
    if (isFollowing) {
      aGate.Follow(
        aNotice.mFollow, std::min(aNotice.mFollowFor, kFollowTime), aNow);
    }
  });
  if (isFollowing) {
    mHooks.mOnNews();
  }
  auto latest = View();
  for (const host_id& host : aNotice.mRelayTo) {
    quota_notice_message message;
    message.mTarget.mHost = host;
    message.mNotice = aNotice;
    message.mNotice.mRelayTo.clear();
    SendNotice(std::move(message), *latest);
  }
}

void
quota_controller::OnNoticeFailed(const quota_notice_message& aMessage)
{
  if (aMessage.mNotice.mRelayTo.empty()) {
    return;
  }
  quota_notice_message next = aMessage;
  next.mTarget = {};
  next.mTarget.mHost = next.mNotice.mRelayTo.front();
  next.mNotice.mRelayTo.erase(next.mNotice.mRelayTo.begin());
  SendNotice(std::move(next), *View());
}

}

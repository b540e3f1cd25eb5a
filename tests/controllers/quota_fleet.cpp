#include "tests/controllers/quota_fleet.h"

#include "decisions/quota/quota_limits.h"

#include <algorithm>

namespace test {

namespace {

constexpr milliseconds kReportDelay{ 100 };
/** One way between hosts, and the time of a small host with other work until it
 * has read a message. */
constexpr milliseconds kNetworkDelay{ 2 };
constexpr double kMeanWorkMs = 8;
constexpr int kMaxWorkMs = 60;
/** Time until a process that ended refuses a connection. */
constexpr milliseconds kRefusedDelay{ 4 };
/** Time until a host that is back is confirmed, and known to the others. */
constexpr milliseconds kReturnDelay{ 400 };
constexpr int kViewSpreadMs = 300;
constexpr std::int64_t kMicrosecondsInSecond = 1'000'000;

}

quota_fleet::quota_fleet(std::size_t aHosts, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mHosts(aHosts)
  , mMessages(aHosts)
{
  for (std::size_t number = 0; number < aHosts; ++number) {
    mHosts[number].mHost.mValue = "e" + std::to_string(number + 1);
  }
  for (std::size_t number = 0; number < aHosts; ++number) {
    MakeController(number, mNow - std::chrono::minutes(1));
  }
  std::vector<entry_host_record> records;
  for (const host& entry : mHosts) {
    entry_host_record record;
    record.mHost = entry.mHost;
    record.mIncarnation = entry.mIncarnation;
    record.mSubqueryAddress = entry.mHost.mValue + ":1";
    records.push_back(record);
  }
  for (host& entry : mHosts) {
    entry.mController->SetHosts(records, mNow - std::chrono::minutes(1));
  }
}

void
quota_fleet::MakeController(std::size_t aHost, steady_time aStartedAt)
{
  host& made = mHosts[aHost];
  quota_config config;
  config.mSelf = made.mHost;
  config.mIncarnation = made.mIncarnation;
  config.mStartedAt = aStartedAt;
  quota_hooks hooks;
  hooks.mConfirmedAge = [this, aHost](steady_time aNow) {
    const host& self = mHosts[aHost];
    return self.mIsInContact
             ? kConfirmedAge
             : kConfirmedAge + std::chrono::duration_cast<milliseconds>(
                                 aNow - self.mLostContactAt);
  };
  hooks.mOnNews = [this, aHost] { ReportSoon(aHost); };
  hooks.mSendNotice = [this, aHost](const quota_notice_message& aMessage) {
    SendNotice(aHost, aMessage);
  };
  hooks.mProbe = [this, aHost](const quota_message& aMessage) {
    Exchange(aHost,
             aMessage,
             [this, aHost, aMessage](const std::optional<quota_reply>& aReply) {
               mHosts[aHost].mController->OnProbed(aMessage, aReply, mNow);
             });
  };
  hooks.mOnState = [](const team_id&, bool, double) {};
  hooks.mOnTakeover = [](const team_id&, const host_id&) {};
  made.mController =
    std::make_unique<quota_controller>(config, std::move(hooks));
}

void
quota_fleet::At(steady_time aTime, std::function<void()> aBody)
{
  mEvents.push({ aTime, mNextEvent++, std::move(aBody) });
}

void
quota_fleet::On(std::size_t aHost,
                steady_time aTime,
                std::function<void()> aBody)
{
  At(aTime,
     [this,
      aHost,
      incarnation = mHosts[aHost].mIncarnation,
      body = std::move(aBody)] {
       const host& self = mHosts[aHost];
       if (!self.mIsAlive || self.mIncarnation != incarnation) {
         return;
       }
       if (IsFrozen(aHost)) {
         On(aHost, self.mFrozenUntil, body);
         return;
       }
       body();
     });
}

milliseconds
quota_fleet::Delay()
{
  std::exponential_distribution<double> work(1 / kMeanWorkMs);
  return kNetworkDelay +
         milliseconds(std::min(kMaxWorkMs, static_cast<int>(work(mRandom))));
}

std::size_t
quota_fleet::IndexOf(const host_id& aHost) const
{
  auto found =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const host& aEntry) {
      return aEntry.mHost == aHost;
    });
  return static_cast<std::size_t>(found - mHosts.begin());
}

void
quota_fleet::Exchange(std::size_t aFrom,
                      const quota_message& aMessage,
                      std::function<void(std::optional<quota_reply>)> aThen)
{
  std::size_t target = IndexOf(aMessage.mTarget.mHost);
  ++mMessages[aFrom];
  auto isDone = std::make_shared<bool>(false);
  auto finish = [isDone,
                 then = std::move(aThen)](std::optional<quota_reply> aReply) {
    if (!*isDone) {
      *isDone = true;
      then(std::move(aReply));
    }
  };
  On(aFrom, mNow + aMessage.mTimeout, [finish] { finish(std::nullopt); });
  if (mHosts[aFrom].mIsCut != mHosts[target].mIsCut) {
    return;
  }
  if (!mHosts[target].mIsAlive) {
    On(aFrom, mNow + kRefusedDelay, [finish] { finish(std::nullopt); });
    return;
  }
  On(target,
     mNow + Delay(),
     [this, aFrom, target, finish, request = aMessage.mRequest] {
       ++mMessages[target];
       quota_reply reply = mHosts[target].mController->Serve(request, mNow);
       if (mHosts[aFrom].mIsCut != mHosts[target].mIsCut) {
         return;
       }
       On(aFrom, mNow + Delay(), [finish, reply] { finish(reply); });
     });
}

void
quota_fleet::SendNotice(std::size_t aFrom, const quota_notice_message& aMessage)
{
  constexpr milliseconds kNoticeTimeout{ 150 };
  std::size_t target = IndexOf(aMessage.mTarget.mHost);
  ++mMessages[aFrom];
  auto isDone = std::make_shared<bool>(false);
  auto fail = [this, aFrom, isDone, aMessage] {
    if (!*isDone) {
      *isDone = true;
      mHosts[aFrom].mController->OnNoticeFailed(aMessage);
    }
  };
  On(aFrom, mNow + kNoticeTimeout, fail);
  if (mHosts[aFrom].mIsCut != mHosts[target].mIsCut) {
    return;
  }
  if (!mHosts[target].mIsAlive) {
    On(aFrom, mNow + kRefusedDelay, fail);
    return;
  }
  On(target, mNow + Delay(), [this, target, isDone, aMessage] {
    ++mMessages[target];
    *isDone = true;
    mHosts[target].mController->OnNotice(aMessage.mNotice, mNow);
  });
}

void
quota_fleet::ReportSoon(std::size_t aHost)
{
  if (mHosts[aHost].mIsReporting) {
    return;
  }
  mHosts[aHost].mIsReporting = true;
  On(aHost, mNow + kReportDelay, [this, aHost] { Report(aHost); });
}

void
quota_fleet::Report(std::size_t aHost)
{
  quota_controller& controller = *mHosts[aHost].mController;
  mHosts[aHost].mIsReporting = false;
  auto messages = controller.TakeReports(mNow);
  auto left = std::make_shared<std::size_t>(messages.size());
  auto goOn = [this, aHost, &controller] {
    if (controller.HasNews(mNow)) {
      ReportSoon(aHost);
    }
  };
  if (messages.empty()) {
    goOn();
  }
  for (const quota_message& message : messages) {
    Exchange(aHost,
             message,
             [this, &controller, left, message, goOn](
               const std::optional<quota_reply>& aReply) {
               controller.OnReported(message, aReply, mNow);
               if (--*left == 0) {
                 goOn();
               }
             });
  }
}

void
quota_fleet::Decide(std::size_t aHost,
                    const std::shared_ptr<quota_ticket>& aTicket,
                    const quota_step& aStep,
                    const team_id& aTeam,
                    std::size_t aRequest)
{
  if (aStep.mVerdict == quota_verdict::Ask) {
    Exchange(aHost,
             aStep.mMessage,
             [this, aHost, aTicket, aTeam, aRequest](
               const std::optional<quota_reply>& aReply) {
               quota_step next =
                 mHosts[aHost].mController->Continue(*aTicket, aReply, mNow);
               Decide(aHost, aTicket, next, aTeam, aRequest);
             });
    return;
  }
  fleet_request& request = mRequests[aTeam][aRequest];
  request.mDecidedAt = mNow;
  request.mBasis = aStep.mBasis;
  request.mRetryAfter = aStep.mRetryAfter;
  request.mIsAdmitted = aStep.mVerdict == quota_verdict::Admitted;
  request.mIsRefused = aStep.mVerdict == quota_verdict::Refused;
}

void
quota_fleet::Arrive(const team_id& aTeam, std::size_t aHost)
{
  std::size_t number = mRequests[aTeam].size();
  mRequests[aTeam].push_back({ mNow, mNow });
  On(aHost, mNow + Delay(), [this, aHost, aTeam, number] {
    auto ticket = std::make_shared<quota_ticket>();
    ticket->mTeam = aTeam;
    ticket->mTerms = mTeams[aTeam].mTerms;
    quota_step step = mHosts[aHost].mController->Begin(*ticket, mNow);
    Decide(aHost, ticket, step, aTeam, number);
  });
}

void
quota_fleet::ScheduleArrival(const team_id& aTeam)
{
  // Arrivals at the highest rate are thinned out to the present one.
  constexpr double kMaxFactor = 8;
  double maxRate = mTeams[aTeam].mUsualRate * kMaxFactor;
  std::exponential_distribution<double> gap(maxRate);
  auto wait = microseconds(static_cast<std::int64_t>(
    gap(mRandom) * static_cast<double>(kMicrosecondsInSecond)));
  At(mNow + wait, [this, aTeam] {
    double factor = mRateFactors.contains(aTeam) ? mRateFactors.at(aTeam) : 1.0;
    std::uniform_real_distribution<double> draw(0, kMaxFactor);
    if (draw(mRandom) < factor) {
      std::uniform_int_distribution<std::size_t> pick(0, mHosts.size() - 1);
      std::size_t target = pick(mRandom);
      // Callers go to another host if one refuses the connection.
      while (!mHosts[target].mIsAlive) {
        target = pick(mRandom);
      }
      Arrive(aTeam, target);
    }
    ScheduleArrival(aTeam);
  });
}

void
quota_fleet::AddTeam(const fleet_team& aTeam)
{
  mTeams[aTeam.mTeam] = aTeam;
  mRequests[aTeam.mTeam];
  ScheduleArrival(aTeam.mTeam);
}

void
quota_fleet::RunFor(milliseconds aTime)
{
  steady_time end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    event next = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, next.mAt);
    next.mBody();
  }
  mNow = end;
}

std::size_t
quota_fleet::OwnerOf(const team_id& aTeam) const
{
  std::vector<host_id> hosts;
  for (const host& entry : mHosts) {
    if (entry.mIsAlive && entry.mIsInContact) {
      hosts.push_back(entry.mHost);
    }
  }
  // The controllers sort their hosts by id, which the ranks don't depend on.
  return IndexOf(hosts[RankOwners(aTeam, hosts).front()]);
}

void
quota_fleet::SpreadView(milliseconds aDelay)
{
  At(mNow + aDelay, [this] {
    std::vector<entry_host_record> records;
    for (const host& entry : mHosts) {
      entry_host_record record;
      record.mHost = entry.mHost;
      record.mIncarnation = entry.mIncarnation;
      record.mSubqueryAddress = entry.mHost.mValue + ":1";
      bool isSilent =
        !entry.mIsInContact && mNow - entry.mLostContactAt >= kSilence;
      record.mState =
        isSilent ? entry_host_state::Silent : entry_host_state::Serving;
      records.push_back(record);
    }
    std::uniform_int_distribution<int> spread(10, kViewSpreadMs);
    for (std::size_t number = 0; number < mHosts.size(); ++number) {
      if (mHosts[number].mIsInContact) {
        On(number, mNow + milliseconds(spread(mRandom)), [=, this] {
          mHosts[number].mController->SetHosts(records, mNow);
        });
      }
    }
  });
}

void
quota_fleet::LoseContact(std::size_t aHost)
{
  mHosts[aHost].mIsInContact = false;
  mHosts[aHost].mLostContactAt = mNow;
  SpreadView(kSilence);
}

void
quota_fleet::RegainContact(std::size_t aHost)
{
  On(aHost, mNow + kReturnDelay, [this, aHost] {
    mHosts[aHost].mController->OnConfirmed(mNow);
    mHosts[aHost].mIsInContact = true;
    SpreadView(milliseconds(0));
  });
}

void
quota_fleet::Kill(std::size_t aHost)
{
  mHosts[aHost].mIsAlive = false;
  LoseContact(aHost);
}

void
quota_fleet::Restart(std::size_t aHost)
{
  host& started = mHosts[aHost];
  started.mIsAlive = true;
  ++started.mIncarnation;
  started.mIsReporting = false;
  MakeController(aHost, mNow);
  RegainContact(aHost);
}

void
quota_fleet::Freeze(std::size_t aHost, milliseconds aTime)
{
  mHosts[aHost].mFrozenUntil = mNow + aTime;
  LoseContact(aHost);
  At(mNow + aTime, [this, aHost] { RegainContact(aHost); });
}

void
quota_fleet::CutOff(const std::vector<std::size_t>& aHosts)
{
  for (std::size_t number : aHosts) {
    mHosts[number].mIsCut = true;
    LoseContact(number);
  }
}

void
quota_fleet::Reconnect(const std::vector<std::size_t>& aHosts)
{
  for (std::size_t number : aHosts) {
    mHosts[number].mIsCut = false;
    RegainContact(number);
  }
}

std::size_t
MaxAdmitted(const std::vector<fleet_request>& aRequests, milliseconds aWindow)
{
  std::vector<steady_time> sent;
  for (const fleet_request& request : aRequests) {
    if (request.mIsAdmitted) {
      sent.push_back(request.mSentAt);
    }
  }
  std::size_t first = 0;
  std::size_t highest = 0;
  for (std::size_t last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= aWindow) {
      ++first;
    }
    highest = std::max(highest, last - first + 1);
  }
  return highest;
}

std::size_t
RefusedBelow(const std::vector<fleet_request>& aRequests,
             milliseconds aWindow,
             double aQuota,
             steady_time aFrom,
             steady_time aTo)
{
  std::size_t wrong = 0;
  for (const fleet_request& request : aRequests) {
    bool isMeant =
      request.mIsRefused && request.mSentAt >= aFrom && request.mSentAt < aTo;
    if (!isMeant) {
      continue;
    }
    auto before = std::count_if(
      aRequests.begin(), aRequests.end(), [&](const fleet_request& aOther) {
        return aOther.mIsAdmitted && aOther.mSentAt <= request.mSentAt &&
               aOther.mSentAt > request.mSentAt - aWindow;
      });
    wrong += static_cast<double>(before) + 1 <= aQuota ? 1 : 0;
  }
  return wrong;
}

}

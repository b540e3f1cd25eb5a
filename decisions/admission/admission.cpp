#include "decisions/admission/admission.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr double kSampleWeight = 0.1;
constexpr milliseconds kMinRetryAfter{ 10 };

admission_result
Refuse(refusal_reason aReason, microseconds aWait)
{
  auto wait = std::chrono::ceil<milliseconds>(aWait);
  return { admission_verdict::Refused,
           aReason,
           std::max(kMinRetryAfter, wait) };
}

}

microseconds
admission::ExpectedWait(const team_state& aTeam) const
{
  // The requests ahead of a new one end at the rate that the limits allow.
  std::uint32_t concurrency = std::max(1U, std::min(aTeam.mLimit, mHostLimit));
  double ahead = static_cast<double>(aTeam.mQueue.size()) + 1;
  double wait = ahead * aTeam.mRunMicroseconds / concurrency;
  return microseconds(static_cast<std::int64_t>(wait));
}

void
admission::Start(team_state& aTeam)
{
  ++mRunning;
  ++aTeam.mRunning;
}

admission_result
admission::Submit(admission_request aRequest, steady_time aNow)
{
  team_state& team = mTeams[aRequest.mTeam];
  team.mLimit = std::max(1U, aRequest.mTeamLimit);
  bool hasCapacity = mRunning < mHostLimit && team.mRunning < team.mLimit;
  if (hasCapacity && team.mQueue.empty()) {
    Start(team);
    return {};
  }
  bool isTeamLimit = team.mRunning >= team.mLimit;
  refusal_reason reason =
    isTeamLimit ? refusal_reason::TeamLimit : refusal_reason::HostLimit;
  microseconds wait = ExpectedWait(team);
  if (team.mQueue.size() >= team.mLimit) {
    return Refuse(reason, wait);
  }
  microseconds runTime(static_cast<std::int64_t>(team.mRunMicroseconds));
  if (aNow + wait + runTime > aRequest.mDeadline) {
    return Refuse(reason, wait);
  }
  team.mQueue.push_back(std::move(aRequest));
  admission_result queued;
  queued.mVerdict = admission_verdict::Queued;
  return queued;
}

admission::team_state*
admission::NextTeam()
{
  team_state* next = nullptr;
  auto usage = [](const team_state& aTeam) {
    return static_cast<double>(aTeam.mRunning) / aTeam.mLimit;
  };
  for (auto& [name, team] : mTeams) {
    bool canRun = !team.mQueue.empty() && team.mRunning < team.mLimit;
    if (canRun && (next == nullptr || usage(team) < usage(*next))) {
      next = &team;
    }
  }
  return next;
}

std::vector<admission_decision>
admission::Release(const team_id& aTeam,
                   microseconds aRunTime,
                   steady_time aNow)
{
  team_state& finished = mTeams[aTeam];
  --finished.mRunning;
  --mRunning;
  auto runMicroseconds = static_cast<double>(aRunTime.count());
  bool isFirst = finished.mRunMicroseconds == 0;
  finished.mRunMicroseconds += (isFirst ? 1 : kSampleWeight) *
                               (runMicroseconds - finished.mRunMicroseconds);
  std::vector<admission_decision> released;
  while (mRunning < mHostLimit) {
    team_state* team = NextTeam();
    if (team == nullptr) {
      break;
    }
    admission_request next = std::move(team->mQueue.front());
    team->mQueue.pop_front();
    if (next.mDeadline <= aNow) {
      released.push_back(
        { next.mTicket,
          Refuse(refusal_reason::DeadlinePassed, microseconds(0)) });
      continue;
    }
    Start(*team);
    released.push_back({ next.mTicket, {} });
  }
  return released;
}

bool
admission::Withdraw(const team_id& aTeam, ticket_number aTicket)
{
  auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return false;
  }
  auto& queue = found->second.mQueue;
  auto position = std::find_if(
    queue.begin(), queue.end(), [&](const admission_request& aRequest) {
      return aRequest.mTicket == aTicket;
    });
  if (position == queue.end()) {
    return false;
  }
  queue.erase(position);
  return true;
}

}

#include "controllers/admission_controller.h"

namespace hibiscusspool {

admission_result
admission_controller::Submit(admission_request& aRequest,
                             admission_callback aWake,
                             steady_time aNow)
{
  aRequest.mTicket = mNextTicket++;
  // The hook is there before the queue can name its ticket.
  mWaiting.Set(aRequest.mTicket, std::move(aWake));
  admission_result answer;
  {
    std::lock_guard guard(mLock);
    answer = mAdmission.Submit(aRequest, aNow);
  }
  if (answer.mVerdict != admission_verdict::Queued) {
    mWaiting.Take(aRequest.mTicket);
  }
  return answer;
}

bool
admission_controller::Withdraw(const admission_request& aRequest)
{
  bool isWithdrawn = false;
  {
    std::lock_guard guard(mLock);
    isWithdrawn = mAdmission.Withdraw(aRequest.mTeam, aRequest.mTicket);
  }
  if (isWithdrawn) {
    mWaiting.Take(aRequest.mTicket);
  }
  return isWithdrawn;
}

void
admission_controller::Release(const team_id& aTeam,
                              microseconds aRan,
                              steady_time aNow)
{
  std::vector<admission_decision> released;
  {
    std::lock_guard guard(mLock);
    released = mAdmission.Release(aTeam, aRan, aNow);
  }
  for (const admission_decision& release : released) {
    auto wake = mWaiting.Take(release.mTicket);
    if (wake) {
      (*wake)(release.mAnswer);
    }
  }
}

std::uint32_t
admission_controller::Running()
{
  std::lock_guard guard(mLock);
  return mAdmission.Running();
}

std::uint32_t
admission_controller::HostLimit()
{
  std::lock_guard guard(mLock);
  return mAdmission.HostLimit();
}

}

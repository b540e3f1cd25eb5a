#include "controllers/admission_controller.h"

namespace hibiscusspool {

admission_result
admission_controller::Submit(admission_request& aRequest,
                             admission_callback aCallback,
                             steady_time aNow)
{
  aRequest.mTicket = mNextTicket++;
  // Registered first, since the queue may decide as soon as it has the ticket.
  mCallbacks.Set(aRequest.mTicket, std::move(aCallback));
  admission_result result;
  {
    std::lock_guard guard(mLock);
    result = mAdmission.Submit(aRequest, aNow);
  }
  if (result.mVerdict != admission_verdict::Queued) {
    mCallbacks.Take(aRequest.mTicket);
  }
  return result;
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
    mCallbacks.Take(aRequest.mTicket);
  }
  return isWithdrawn;
}

void
admission_controller::Release(const team_id& aTeam,
                              microseconds aDuration,
                              steady_time aNow)
{
  std::vector<admission_decision> released;
  {
    std::lock_guard guard(mLock);
    released = mAdmission.Release(aTeam, aDuration, aNow);
  }
  for (const admission_decision& release : released) {
    auto callback = mCallbacks.Take(release.mTicket);
    if (callback) {
      (*callback)(release.mResult);
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

#include "controllers/announcement_controller.h"

namespace hibiscusspool {

void
announcement_controller::Renew(const server_id& aServer, steady_time aNow)
{
  mRenewedAt.Set(aServer, aNow);
}

void
announcement_controller::Drop(const server_id& aServer)
{
  mRenewedAt.Take(aServer);
}

void
announcement_controller::StartMissingLeases(
  const std::vector<server_id>& aSponsored,
  steady_time aNow)
{
  for (const server_id& server : aSponsored) {
    if (!mRenewedAt.Get(server)) {
      mRenewedAt.Set(server, aNow);
    }
  }
}

std::vector<server_id>
announcement_controller::TakeExpired(steady_time aNow)
{
  std::vector<server_id> expired;
  mRenewedAt.EraseIf([&](const server_id& aServer, steady_time aRenewedAt) {
    bool isExpired = aNow - aRenewedAt > mLeaseDuration;
    if (isExpired) {
      expired.push_back(aServer);
    }
    return isExpired;
  });
  return expired;
}

}

#include "decisions/servers/crash_suspects.h"

namespace hibiscusspool {

void
crash_suspects::OnLost(const fingerprint_id& aRequest,
                       const server_start& aStart,
                       const std::string& aAddress,
                       steady_time aNow)
{
  auto found = mServers.find(aStart);
  if (found == mServers.end()) {
    if (mServers.size() >= kMaxServers) {
      return;
    }
    found = mServers.emplace(aStart, lost_server{}).first;
    found->second.mAddress = aAddress;
    found->second.mLostAt = aNow;
  }
  if (found->second.mRequests.size() < kMaxRequestsPerServer) {
    found->second.mRequests.insert(aRequest);
  }
}

std::vector<due_probe>
crash_suspects::TakeDueProbes(steady_time aNow)
{
  std::vector<due_probe> due;
  for (auto& [start, server] : mServers) {
    if (!server.mIsProbed && aNow >= server.mLostAt + kProbeDelay) {
      server.mIsProbed = true;
      due.push_back({ start, server.mAddress });
    }
  }
  return due;
}

void
crash_suspects::OnProbe(const server_start& aStart, connect_result aResult)
{
  auto found = mServers.find(aStart);
  if (found == mServers.end()) {
    return;
  }
  switch (aResult) {
    case connect_result::Accepted:
      mServers.erase(found);
      return;
    case connect_result::Refused:
      found->second.mHasEnded = true;
      return;
    case connect_result::Unknown:
      return;
  }
}

std::vector<fingerprint_id>
crash_suspects::TakeConfirmed(
  const std::function<server_fate(const server_start&)>& aFate,
  steady_time aNow)
{
  std::set<fingerprint_id> confirmed;
  for (auto entry = mServers.begin(); entry != mServers.end();) {
    const auto& [start, server] = *entry;
    server_fate fate = aFate(start);
    bool hasCrashed = fate != server_fate::Left &&
                      (server.mHasEnded || fate == server_fate::Ended);
    if (hasCrashed) {
      confirmed.insert(server.mRequests.begin(), server.mRequests.end());
    }
    bool isSound = aNow >= server.mLostAt + kVerdictTime;
    bool isDecided = hasCrashed || isSound || fate == server_fate::Left;
    entry = isDecided ? mServers.erase(entry) : std::next(entry);
  }
  return { confirmed.begin(), confirmed.end() };
}

}

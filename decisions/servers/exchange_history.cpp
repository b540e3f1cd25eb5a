#include "decisions/servers/exchange_history.h"

#include <algorithm>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

std::uint64_t
HashOf(std::string_view aId)
{
  return XXH3_64bits(aId.data(), aId.size());
}

}

bool
exchange_history::MayCarry(std::string_view aRequestId, steady_time aNow) const
{
  std::uint64_t hash = HashOf(aRequestId);
  std::size_t remembered = 0;
  for (const carried_request& carried : mCarried) {
    if (carried.mUntil <= aNow) {
      continue;
    }
    if (carried.mIdHash == hash) {
      return false;
    }
    ++remembered;
  }
  return remembered < kMaxCarried;
}

void
exchange_history::OnRequest(std::string_view aRequestId,
                            steady_time aDeadline,
                            steady_time aNow)
{
  std::erase_if(mCarried, [&](const carried_request& aCarried) {
    return aCarried.mUntil <= aNow;
  });
  mCarried.push_back({ HashOf(aRequestId), aDeadline });
  ++mRequestCount;
}

response_owner
exchange_history::OnResponse(std::string_view aRequestId,
                             std::string_view aNamedId)
{
  if (!aNamedId.empty()) {
    mHasNamedRequests = true;
    return aNamedId == aRequestId ? response_owner::Current
                                  : response_owner::Earlier;
  }
  if (mRequestCount == 1) {
    return response_owner::Current;
  }
  bool namesThisOne = mHasNamedRequests && !aRequestId.empty();
  return namesThisOne ? response_owner::Doubtful : response_owner::Unnamed;
}

}

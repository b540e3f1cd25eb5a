#include "decisions/routing/caller_keys.h"

namespace hibiscusspool {

namespace {

/** Part of the revocation time for which a confirmed state may be used. The
 * rest is left for a request that was permitted just before to be sent. */
constexpr int kConfirmedPercent = 60;
constexpr int kPercent = 100;

}

milliseconds
MaxConfirmedAge(const key_limits& aLimits)
{
  return aLimits.mRevocationTime * kConfirmedPercent / kPercent;
}

bool
MayUseKeys(const key_limits& aLimits, std::optional<milliseconds> aAge)
{
  return !aLimits.mIsRevocationStrict ||
         (aAge && *aAge < MaxConfirmedAge(aLimits));
}

key_verdict
JudgeKey(const key_limits& aLimits,
         std::optional<milliseconds> aAge,
         const route_table* aRoutes,
         std::string_view aKey,
         const team_id& aTeam)
{
  if (!MayUseKeys(aLimits, aAge)) {
    return key_verdict::Stale;
  }
  const caller_team_record* holder =
    aRoutes == nullptr ? nullptr : aRoutes->FindCallerTeam(aKey);
  bool isHeld = holder != nullptr && holder->mTeam == aTeam;
  return isHeld ? key_verdict::Usable : key_verdict::Removed;
}

key_verdict
JudgeSubqueryKey(const key_limits& aLimits,
                 std::optional<milliseconds> aAge,
                 const route_table* aRoutes,
                 configuration_number aNumber)
{
  if (!MayUseKeys(aLimits, aAge)) {
    return key_verdict::Stale;
  }
  bool isKnown = aRoutes != nullptr && aRoutes->Number() >= aNumber;
  return isKnown ? key_verdict::Usable : key_verdict::Removed;
}

}

#include "decisions/state/control_state.h"

#include "decisions/state/change_evaluation.h"

namespace hibiscusspool {

std::string
ClaimName(const team_id& aTeam, const idempotency_key& aKey)
{
  // Team names contain no slash, so the combined name is unique.
  return aTeam.mValue + "/" + aKey.mValue;
}

change_outcome
OutcomeOf(const claim_record& aClaim)
{
  change_outcome outcome;
  outcome.mVersion = aClaim.mVersion;
  outcome.mRecordedOutcome = aClaim.mOutcome;
  switch (aClaim.mState) {
    case claim_state::Done:
      outcome.mVerdict = change_verdict::AlreadyDone;
      break;
    case claim_state::Unknown:
      outcome.mVerdict = change_verdict::AlreadyUnknown;
      break;
    case claim_state::Claimed:
    case claim_state::Released:
      outcome.mVerdict = change_verdict::InProgress;
      break;
  }
  return outcome;
}

change_outcome
control_state::Put(const claim_record& aProposed,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  std::string name = ClaimName(aProposed.mTeam, aProposed.mKey);
  auto found = mClaims.find(name);
  if (found != mClaims.end() && found->second.mAttempt == aProposed.mAttempt) {
    return SettleClaim(found->second, aProposed, aEffects);
  }
  bool isFree =
    found == mClaims.end() || found->second.mState == claim_state::Released;
  if (aProposed.mState == claim_state::Released && isFree) {
    claim_record& stored = mClaims[name];
    stored = aProposed;
    Settle(stored, claim_state::Released, aEffects);
    return Accept(mIndex);
  }
  if (aProposed.mState != claim_state::Claimed) {
    return Refuse(change_verdict::NotFound,
                  0,
                  "No claim with this key is held by this attempt.");
  }
  if (isFree) {
    if (found == mClaims.end() && mClaims.size() >= mLimits.mMaxClaims) {
      return Refuse(change_verdict::TableFull, 0, "The claims table is full.");
    }
    claim_record& stored = mClaims[name];
    stored = aProposed;
    stored.mVersion = mIndex;
    return Accept(mIndex);
  }
  const claim_record& existing = found->second;
  if (existing.mFingerprint != aProposed.mFingerprint) {
    return Refuse(change_verdict::KeyReused,
                  existing.mVersion,
                  "The Idempotency-Key was used with another body.");
  }
  return OutcomeOf(existing);
}

change_outcome
control_state::SettleClaim(claim_record& aClaim,
                           const claim_record& aProposed,
                           change_effects& aEffects)
{
  // A claim whose owner was lost is settled again if its outcome arrives later.
  bool isDone = aClaim.mState == claim_state::Done;
  if (aClaim.mState == claim_state::Released) {
    return Refuse(
      change_verdict::Stale, aClaim.mVersion, "The claim was released.");
  }
  if (aProposed.mState == claim_state::Claimed || isDone) {
    if (aClaim.mState == claim_state::Unknown) {
      return Refuse(change_verdict::AlreadyUnknown,
                    aClaim.mVersion,
                    "The host that made the claim was lost.");
    }
    return Accept(aClaim.mVersion);
  }
  aClaim.mOutcome = aProposed.mOutcome;
  Settle(aClaim, aProposed.mState, aEffects);
  return Accept(mIndex);
}

void
control_state::Settle(claim_record& aClaim,
                      claim_state aState,
                      change_effects& aEffects)
{
  std::string name = ClaimName(aClaim.mTeam, aClaim.mKey);
  aClaim.mState = aState;
  aClaim.mVersion = mIndex;
  aClaim.mSettledAt = mTime;
  bool isReleased = aState == claim_state::Released;
  (isReleased ? mReleasedClaims : mSettledClaims).emplace_back(mTime, name);
  aEffects.mSettledClaims.push_back(name);
}

void
control_state::MarkClaimsUnknown(const host_id& aOwner,
                                 incarnation_number aOwnerIncarnation,
                                 change_effects& aEffects)
{
  for (auto& [name, claim] : mClaims) {
    bool isLost = claim.mState == claim_state::Claimed &&
                  claim.mOwner == aOwner &&
                  claim.mOwnerIncarnation <= aOwnerIncarnation;
    if (isLost) {
      Settle(claim, claim_state::Unknown, aEffects);
    }
  }
}

void
control_state::ExpireClaims(
  std::deque<std::pair<wall_ms, std::string>>& aSettled,
  milliseconds aRetention)
{
  wall_ms cutoff = mTime - aRetention.count();
  while (!aSettled.empty() && aSettled.front().first < cutoff) {
    auto [settledAt, name] = aSettled.front();
    aSettled.pop_front();
    auto found = mClaims.find(name);
    // The queue entry is obsolete if the claim was settled again or recreated.
    if (found != mClaims.end() && found->second.mSettledAt == settledAt &&
        found->second.mState != claim_state::Claimed) {
      mClaims.erase(found);
    }
  }
}

const claim_record*
control_state::FindClaim(const std::string& aName) const
{
  auto found = mClaims.find(aName);
  return found == mClaims.end() ? nullptr : &found->second;
}

std::vector<claim_record>
control_state::Claims() const
{
  std::vector<claim_record> claims;
  for (const auto& [name, claim] : mClaims) {
    claims.push_back(claim);
  }
  return claims;
}

}

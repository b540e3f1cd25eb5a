#include "decisions/control_state.h"

#include "decisions/change_evaluation.h"

namespace hibiscusspool {

std::string
ClaimName(const team_id& aTeam, const idempotency_key& aKey)
{
  // A team's name holds no slash, so that two pairs never share a name.
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
control_state::Put(const claim_record& aWish,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  std::string name = ClaimName(aWish.mTeam, aWish.mKey);
  auto found = mClaims.find(name);
  if (found != mClaims.end() && found->second.mAttempt == aWish.mAttempt) {
    return SettleClaim(found->second, aWish, aEffects);
  }
  bool isFree =
    found == mClaims.end() || found->second.mState == claim_state::Released;
  if (aWish.mState == claim_state::Released && isFree) {
    claim_record& kept = mClaims[name];
    kept = aWish;
    Settle(kept, claim_state::Released, aEffects);
    return Accept(mIndex);
  }
  if (aWish.mState != claim_state::Claimed) {
    return Refuse(change_verdict::NotFound, 0, "The claim is not held.");
  }
  if (isFree) {
    if (found == mClaims.end() && mClaims.size() >= mLimits.mMaxClaims) {
      return Refuse(change_verdict::TableFull, 0, "The claims table is full.");
    }
    claim_record& kept = mClaims[name];
    kept = aWish;
    kept.mVersion = mIndex;
    return Accept(mIndex);
  }
  const claim_record& known = found->second;
  if (known.mFingerprint != aWish.mFingerprint) {
    return Refuse(change_verdict::KeyReused,
                  known.mVersion,
                  "The key was used with another body.");
  }
  return OutcomeOf(known);
}

change_outcome
control_state::SettleClaim(claim_record& aClaim,
                           const claim_record& aWish,
                           change_effects& aEffects)
{
  // A lost claim that turns out to be done is settled anew: the truth counts.
  bool settled = aClaim.mState == claim_state::Done;
  if (aClaim.mState == claim_state::Released) {
    return Refuse(
      change_verdict::Stale, aClaim.mVersion, "The claim was released.");
  }
  if (aWish.mState == claim_state::Claimed || settled) {
    if (aClaim.mState == claim_state::Unknown) {
      return Refuse(change_verdict::AlreadyUnknown,
                    aClaim.mVersion,
                    "The claim's owner was lost.");
    }
    return Accept(aClaim.mVersion);
  }
  aClaim.mOutcome = aWish.mOutcome;
  Settle(aClaim, aWish.mState, aEffects);
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
control_state::LoseClaimsOf(const host_id& aOwner,
                            incarnation_number aOwnerIncarnation,
                            change_effects& aEffects)
{
  for (auto& [name, claim] : mClaims) {
    bool lost = claim.mState == claim_state::Claimed &&
                claim.mOwner == aOwner &&
                claim.mOwnerIncarnation <= aOwnerIncarnation;
    if (lost) {
      Settle(claim, claim_state::Unknown, aEffects);
    }
  }
}

void
control_state::ForgetClaims(std::deque<std::pair<wall_ms, std::string>>& aEnded,
                            milliseconds aKept)
{
  wall_ms oldest = mTime - aKept.count();
  while (!aEnded.empty() && aEnded.front().first < oldest) {
    auto [settledAt, name] = aEnded.front();
    aEnded.pop_front();
    auto found = mClaims.find(name);
    // A claim that was settled again, or made anew, is not meant.
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

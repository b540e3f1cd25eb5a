#pragma once

#include "decisions/change.h"

#include <optional>
#include <string>

namespace hibiscusspool {

// How wishes for the control state are judged, whatever record they are for.

inline change_outcome
Refuse(change_verdict aVerdict, log_index aVersion, std::string aDetail)
{
  change_outcome outcome;
  outcome.mVerdict = aVerdict;
  outcome.mVersion = aVersion;
  outcome.mDetail = std::move(aDetail);
  return outcome;
}

inline change_outcome
Accept(log_index aVersion)
{
  change_outcome outcome;
  outcome.mVersion = aVersion;
  return outcome;
}

/** Keeps an accepted wish as the record in force, and tells of it. */
template<typename record>
change_outcome
Keep(record& aKept,
     const record& aWish,
     log_index aIndex,
     change_effects& aEffects)
{
  aKept = aWish;
  aKept.mVersion = aIndex;
  aEffects.mRecordChanges.emplace_back(aKept);
  return Accept(aIndex);
}

template<typename records, typename id>
log_index
CurrentVersion(const records& aRecords, const id& aId)
{
  auto found = aRecords.find(aId);
  return found == aRecords.end() ? 0 : found->second.mVersion;
}

inline bool
Matches(const std::optional<log_index>& aIfVersion, log_index aCurrent)
{
  return !aIfVersion || *aIfVersion == aCurrent;
}

inline change_outcome
VersionConflict(log_index aCurrent)
{
  return Refuse(change_verdict::Conflict,
                aCurrent,
                "The record has version " + std::to_string(aCurrent) + " now.");
}

}

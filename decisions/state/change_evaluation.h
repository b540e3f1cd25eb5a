#pragma once

#include "decisions/state/change.h"

#include <optional>
#include <string>

namespace hibiscusspool {

// Evaluation of changes to the control state, common to all kinds of records.

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

/** Stores an accepted change as the current record and publishes it. */
template<typename record>
change_outcome
StoreRecord(record& aStored,
            const record& aProposed,
            log_index aIndex,
            change_effects& aEffects)
{
  aStored = aProposed;
  aStored.mVersion = aIndex;
  aEffects.mRecordChanges.emplace_back(aStored);
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

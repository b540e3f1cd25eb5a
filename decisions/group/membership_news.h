#pragma once

#include "decisions/state/change.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

/**
 * Decides what of the proposed transitions of entry hosts and servers is new:
 * a change that is proposed again until it is recorded is told once. Holds no
 * more than the latest proposal.
 */
class membership_news
{
  /** What the latest proposal contained, without what has been recorded. */
  std::vector<record_change> mProposed;
  /** Why the latest proposal failed; nothing if it did not. */
  std::optional<std::string> mFailure;

public:
  /** The transitions that are not held from the proposal before. To be called
   * for an empty proposal too. */
  std::vector<record_change> OnProposed(
    const std::vector<record_change>& aChanges);
  /** True if the cause differs from that of the proposal before. */
  bool OnFailed(const std::string& aCause);
  /** The outcomes of the latest proposal, in the order of its changes; true if
   * the one before failed. */
  bool OnEvaluated(const std::vector<change_outcome>& aOutcomes);
};

}

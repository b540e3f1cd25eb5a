#include "decisions/group/round_history.h"

#include <algorithm>

namespace hibiscusspool {

void
round_history::OnRound(leader_round aRound, steady_time aNow)
{
  if (!mRounds.empty() && mRounds.back().mRound == aRound) {
    return;
  }
  mRounds.push_back({ aRound, aNow });
  if (mRounds.size() > kMaxRounds) {
    mRounds.pop_front();
  }
}

std::optional<milliseconds>
round_history::AgeOf(leader_round aRound, steady_time aNow) const
{
  auto found = std::find_if(
    mRounds.rbegin(), mRounds.rend(), [&](const begun_round& aBegun) {
      return aBegun.mRound == aRound;
    });
  if (found == mRounds.rend()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(aNow - found->mBegunAt);
}

}

#include "decisions/refusal.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace hibiscusspool {

merged_refusals
MergeRefusals(const std::vector<refusal_batch>& aBatches)
{
  struct run
  {
    std::map<std::uint64_t, refusal> mKept;
    std::uint64_t mLast = 0;
  };
  std::map<std::pair<host_id, incarnation_number>, run> runs;
  for (const refusal_batch& batch : aBatches) {
    run& merged = runs[{ batch.mHost, batch.mIncarnation }];
    merged.mLast = std::max(merged.mLast, batch.mLastNumber);
    for (const refusal& kept : batch.mRefusals) {
      merged.mLast = std::max(merged.mLast, kept.mNumber);
      merged.mKept.emplace(kept.mNumber, kept);
    }
  }
  merged_refusals account;
  for (const auto& [name, merged] : runs) {
    std::uint64_t expected = 1;
    auto addGap = [&account, &expected, of = name](std::uint64_t aNext) {
      if (aNext > expected) {
        account.mGaps.push_back({ of.first, of.second, expected, aNext - 1 });
      }
      expected = aNext + 1;
    };
    for (const auto& [number, kept] : merged.mKept) {
      addGap(number);
      account.mRefusals.push_back(kept);
    }
    addGap(merged.mLast + 1);
  }
  std::sort(account.mRefusals.begin(),
            account.mRefusals.end(),
            [](const refusal& aOne, const refusal& aOther) {
              return std::tie(aOne.mAt, aOne.mId) <
                     std::tie(aOther.mAt, aOther.mId);
            });
  return account;
}

}

#include "decisions/admission/refusal.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace hibiscusspool {

merged_refusals
MergeRefusals(const std::vector<refusal_batch>& aBatches)
{
  struct host_refusals
  {
    std::map<std::uint64_t, refusal> mByNumber;
    std::uint64_t mLast = 0;
  };
  std::map<std::pair<host_id, incarnation_number>, host_refusals> byIncarnation;
  for (const refusal_batch& batch : aBatches) {
    host_refusals& merged = byIncarnation[{ batch.mHost, batch.mIncarnation }];
    merged.mLast = std::max(merged.mLast, batch.mLastNumber);
    for (const refusal& entry : batch.mRefusals) {
      merged.mLast = std::max(merged.mLast, entry.mNumber);
      merged.mByNumber.emplace(entry.mNumber, entry);
    }
  }
  merged_refusals report;
  for (const auto& [name, merged] : byIncarnation) {
    std::uint64_t expected = 1;
    auto addGap = [&report, &expected, of = name](std::uint64_t aNextNumber) {
      if (aNextNumber > expected) {
        report.mGaps.push_back(
          { of.first, of.second, expected, aNextNumber - 1 });
      }
      expected = aNextNumber + 1;
    };
    for (const auto& [number, entry] : merged.mByNumber) {
      addGap(number);
      report.mRefusals.push_back(entry);
    }
    addGap(merged.mLast + 1);
  }
  std::sort(report.mRefusals.begin(),
            report.mRefusals.end(),
            [](const refusal& aOne, const refusal& aOther) {
              return std::tie(aOne.mAt, aOne.mId) <
                     std::tie(aOther.mAt, aOther.mId);
            });
  return report;
}

}

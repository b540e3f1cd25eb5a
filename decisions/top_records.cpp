#include "decisions/top_records.h"

#include <algorithm>

namespace hibiscusspool {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (std::string_view part : aParts) {
    for (std::size_t place = 0; place + kRecordBytes <= part.size();
         place += kRecordBytes) {
      records.push_back(part.substr(place, kRecordBytes));
    }
  }
  std::size_t kept = std::min(aCount, records.size());
  // `string_view` compares its bytes as unsigned, as `memcmp` does.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t place = 0; place < kept; ++place) {
    merged += records[place];
  }
  return merged;
}

}

#include "decisions/routing/top_records.h"

#include <algorithm>

namespace hibiscusspool {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (std::string_view part : aParts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  std::size_t count = std::min(aCount, records.size());
  // `string_view` compares its bytes as unsigned, as `memcmp` does.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t index = 0; index < count; ++index) {
    merged += records[index];
  }
  return merged;
}

}

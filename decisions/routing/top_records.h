#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusspool {

inline constexpr std::size_t kRecordBytes = 16;

/**
 * The `aCount` largest records of all parts, compared as unsigned bytes, in
 * descending order. Duplicates are kept; an incomplete record at the end of a
 * part is ignored.
 */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::size_t aCount);

}

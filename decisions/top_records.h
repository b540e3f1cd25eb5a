#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusspool {

/** Bytes of one record of a part. */
inline constexpr std::size_t kRecordBytes = 16;

/**
 * The `aCount` largest records over all parts, in descending order of their
 * unsigned bytes. Duplicates are kept; trailing bytes that don't fill a record
 * are ignored.
 */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::size_t aCount);

}

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusspool {

/** Bytes of one record of a part. */
inline constexpr std::size_t kRecordBytes = 16;

/**
 * The greatest `aCount` records of the parts, the greatest first, compared
 * byte by byte. Equal records all count; a remainder shorter than a record is
 * none.
 */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::size_t aCount);

}

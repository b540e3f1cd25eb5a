#pragma once

#include "core/failure.h"
#include "decisions/records.h"

namespace hibiscusspool {

enum class announcement_error
{
  InvalidName,
  BadAddress,
  OutOfRange,
};

template<>
inline constexpr name_table<announcement_error, 3> kNames<announcement_error>{ {
  { announcement_error::InvalidName, "missing_name" },
  { announcement_error::BadAddress, "bad_address" },
  { announcement_error::OutOfRange, "out_of_range" },
} };

/**
 * Checks what a server says of itself: names without odd letters, an
 * `ip:port`, and numbers within reason. The detail names the field.
 */
result<void, announcement_error>
CheckAnnouncement(const server_record& aRecord);

/** True when two announcements differ in what others must know. */
bool
HasRecordChanged(const server_record& aKnown, const server_record& aAnnounced);

/** True for a name of letters, digits, and `._-:` of 1 to 128 letters. */
bool
IsValidName(std::string_view aName);

}

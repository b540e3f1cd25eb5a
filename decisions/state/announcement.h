#pragma once

#include "core/failure.h"
#include "decisions/state/records.h"

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
 * Validates a server's announcement: the syntax of names, an `ip:port`
 * address, and the ranges of numbers. The detail names the field.
 */
result<void, announcement_error>
CheckAnnouncement(const server_record& aRecord);

/** True if the announcement changes the record that other hosts hold. */
bool
HasRecordChanged(const server_record& aKnown, const server_record& aAnnounced);

/** True for 1 to 128 characters that are letters, digits or any of `._-:`. */
bool
IsValidName(std::string_view aName);

}

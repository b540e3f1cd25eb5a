#pragma once

#include "core/failure.h"

#include <string>

namespace hibiscusspool {

enum class codec_error
{
  Malformed,
  UnknownName,
};

template<>
inline constexpr name_table<codec_error, 2> kNames<codec_error>{ {
  { codec_error::Malformed, "malformed" },
  { codec_error::UnknownName, "unknown_name" },
} };

/** Decodes an enum value; fails if the name table has no row for the number. */
template<typename value>
result<value, codec_error>
ReadEnum(std::uint32_t aNumber)
{
  if (aNumber >= kNames<value>.size()) {
    return Fail(codec_error::UnknownName,
                "A message contains the unknown enum number " +
                  std::to_string(aNumber) + ".");
  }
  return static_cast<value>(aNumber);
}

}

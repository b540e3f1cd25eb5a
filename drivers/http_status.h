#pragma once

namespace hibiscusspool {

/** True for a status that a response may have (RFC 9110, section 15). The
 * parser takes any three digits. */
constexpr bool
IsHttpStatus(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast;
}

}

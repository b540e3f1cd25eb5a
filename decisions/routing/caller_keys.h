#pragma once

#include "core/clock.h"
#include "core/name_table.h"
#include "decisions/routing/route_table.h"

#include <optional>
#include <string_view>

namespace hibiscusspool {

/** How a key that was taken away is kept from use. */
struct key_limits
{
  /** A key may be used only where the state was confirmed recently enough. */
  bool mIsRevocationStrict = false;
  /** From the acknowledgement of the change that takes a key away until no
   * request with it is sent any more. */
  milliseconds mRevocationTime{ 5000 };
};

/** Whether a request may be sent for the team of a key. */
enum class key_verdict
{
  Usable,
  /** The confirmed state is too old to tell. */
  Stale,
  /** The team doesn't hold the key any more. */
  Removed,
};

template<>
inline constexpr name_table<key_verdict, 3> kNames<key_verdict>{ {
  { key_verdict::Usable, "usable" },
  { key_verdict::Stale, "stale" },
  { key_verdict::Removed, "removed" },
} };

/** Age of the confirmed state from which keys may not be used. */
milliseconds
MaxConfirmedAge(const key_limits& aLimits);

/**
 * Whether keys may be used on a host whose latest confirmed state has this age;
 * the age is absent if none was ever confirmed.
 */
bool
MayUseKeys(const key_limits& aLimits, std::optional<milliseconds> aAge);

/**
 * Judges a key of a team under the routes in force, which must be at least as
 * new as the confirmed state.
 */
key_verdict
JudgeKey(const key_limits& aLimits,
         std::optional<milliseconds> aAge,
         const route_table* aRoutes,
         std::string_view aKey,
         const team_id& aTeam);

/**
 * Judges the key of a subquery, which another host found under the
 * configuration with this number. A later one here doesn't count against it:
 * the bound counts from the caller's send, and the other host checks the key
 * itself, so hosts that learn of a change at different times still share work.
 */
key_verdict
JudgeSubqueryKey(const key_limits& aLimits,
                 std::optional<milliseconds> aAge,
                 const route_table* aRoutes,
                 configuration_number aNumber);

}

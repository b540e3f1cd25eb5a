#pragma once

#include "decisions/routing/caller_keys.h"

#include <atomic>
#include <functional>
#include <memory>

namespace hibiscusspool {

struct caller_key_hooks
{
  /** Age of the newest confirmed state; absent if none was confirmed. */
  std::function<std::optional<milliseconds>(steady_time)> mConfirmedAge;
  /** The routes in force, or nothing before the first configuration. */
  std::function<std::shared_ptr<const route_table>()> mRoutes;
};

/** Requests that were kept from servers because of their keys. */
struct key_refusal_counts
{
  /** The key was missing or unknown, in a configuration known as the latest. */
  std::uint64_t mUnknown = 0;
  /** The key was missing or unknown, and the configuration may be outdated. */
  std::uint64_t mUnconfirmed = 0;
  /** The confirmed state was too old to use any key. */
  std::uint64_t mStale = 0;
  /** Checks before a send that failed because the key was removed. */
  std::uint64_t mRemoved = 0;
};

/**
 * Whether callers' keys may be used on this host, and how often they were not.
 * Under strict revocation the rule is asked again before each send, so that
 * neither a queued request nor a frozen host uses a key for too long.
 */
class caller_key_controller
{
  struct confirmed_state
  {
    std::optional<milliseconds> mAge;
    std::shared_ptr<const route_table> mRoutes;
  };

  key_limits mLimits;
  caller_key_hooks mHooks;
  /** Keys may not be used, by the latest check. */
  std::atomic<bool> mIsStale{ false };
  std::atomic<std::uint64_t> mUnknown{ 0 };
  std::atomic<std::uint64_t> mUnconfirmed{ 0 };
  std::atomic<std::uint64_t> mStale{ 0 };
  std::atomic<std::uint64_t> mRemoved{ 0 };

  /** What this host knows now, for a check of a key. */
  confirmed_state ReadState(steady_time aNow);
  /** Logs when keys become unusable or usable. */
  void NoteAge(std::optional<milliseconds> aAge);
  void Count(key_verdict aVerdict);

public:
  caller_key_controller(key_limits aLimits, caller_key_hooks aHooks)
    : mLimits(aLimits)
    , mHooks(std::move(aHooks))
  {
  }

  [[nodiscard]] bool IsStrict() const { return mLimits.mIsRevocationStrict; }
  /** Whether a request may be sent now for the team that held the key. */
  key_verdict Judge(const std::string& aKey,
                    const team_id& aTeam,
                    steady_time aNow);
  /** The same for a subquery under the configuration with this number. */
  key_verdict JudgeSubquery(configuration_number aNumber, steady_time aNow);
  /** Counts a request that was refused for its missing or unknown key. */
  void CountUnknown(bool aIsConfirmed)
  {
    ++(aIsConfirmed ? mUnknown : mUnconfirmed);
  }
  [[nodiscard]] key_refusal_counts Counts() const;
};

}

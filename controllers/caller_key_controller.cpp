#include "controllers/caller_key_controller.h"

#include "core/log_event.h"

namespace hibiscusspool {

void
caller_key_controller::NoteAge(std::optional<milliseconds> aAge)
{
  bool isStale = !MayUseKeys(mLimits, aAge);
  if (mIsStale.exchange(isStale) == isStale) {
    return;
  }
  log_event(isStale ? "keys_suspended" : "keys_resumed",
            isStale ? log_event::severity::Warning : log_event::severity::Info)
    .Add("age_ms", aAge ? std::to_string(aAge->count()) : "never_confirmed")
    .Add("max_age_ms", MaxConfirmedAge(mLimits).count());
}

caller_key_controller::confirmed_state
caller_key_controller::ReadState(steady_time aNow)
{
  confirmed_state state;
  // The age is read before the routes, so that the routes are at least as new
  // as the state that it is the age of.
  state.mAge = mHooks.mConfirmedAge(aNow);
  state.mRoutes = mHooks.mRoutes();
  NoteAge(state.mAge);
  return state;
}

void
caller_key_controller::Count(key_verdict aVerdict)
{
  switch (aVerdict) {
    case key_verdict::Usable:
      return;
    case key_verdict::Stale:
      ++mStale;
      return;
    case key_verdict::Removed:
      ++mRemoved;
      return;
  }
}

key_verdict
caller_key_controller::Judge(const std::string& aKey,
                             const team_id& aTeam,
                             steady_time aNow)
{
  if (!mLimits.mIsRevocationStrict) {
    return key_verdict::Usable;
  }
  auto [age, routes] = ReadState(aNow);
  key_verdict verdict = JudgeKey(mLimits, age, routes.get(), aKey, aTeam);
  Count(verdict);
  return verdict;
}

key_verdict
caller_key_controller::JudgeSubquery(configuration_number aNumber,
                                     steady_time aNow)
{
  if (!mLimits.mIsRevocationStrict) {
    return key_verdict::Usable;
  }
  auto [age, routes] = ReadState(aNow);
  key_verdict verdict = JudgeSubqueryKey(mLimits, age, routes.get(), aNumber);
  Count(verdict);
  return verdict;
}

key_refusal_counts
caller_key_controller::Counts() const
{
  return { mUnknown, mUnconfirmed, mStale, mRemoved };
}

}

#include "filters/authenticate.h"

#include "filters/fingerprint.h"

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 500 };

void
RefuseKey(caller_key_controller& aKeys,
          const authenticate_hooks& aHooks,
          request_context& aRequest)
{
  // The routes may have been replaced since this request found its own.
  bool areConfirmed = aHooks.mAreRoutesConfirmed(aHooks.mNow());
  auto current = aHooks.mRoutes();
  bool isLatest = areConfirmed && current != nullptr &&
                  current->Number() == aRequest.mConfiguration;
  aKeys.CountUnknown(isLatest);
  std::string detail =
    aRequest.mCallerKey.empty()
      ? "The route needs an API key, and the request has none"
      : "No team of configuration " + std::to_string(aRequest.mConfiguration) +
          " holds the request's API key";
  if (isLatest) {
    aRequest.Refuse(refusal_reason::UnknownKey, detail + ".");
    return;
  }
  aRequest.Refuse(refusal_reason::NotConfirmed,
                  detail + ", and this host can't confirm that it has the "
                           "latest configuration.",
                  kRetryAfter);
}

void
SetTeam(caller_key_controller& aKeys,
        const caller_team_record& aTeam,
        request_context& aRequest)
{
  aRequest.mCallerTeam = aTeam.mTeam;
  aRequest.mPriority = aTeam.mPriority.value_or(aRequest.mPriority);
  aRequest.mFingerprint = FingerprintOf(aRequest.mFingerprint, aTeam.mTeam);
  if (!aKeys.IsStrict()) {
    return;
  }
  aRequest.mMaySend = std::make_shared<const send_check>(
    [&aKeys, key = aRequest.mCallerKey, team = aTeam.mTeam](steady_time aNow) {
      return aKeys.Judge(key, team, aNow) == key_verdict::Usable;
    });
}

void
Authenticate(caller_key_controller& aKeys,
             const authenticate_hooks& aHooks,
             request_context& aRequest)
{
  const route_table& routes = *aRequest.mRoutes;
  if (!routes.RequiresKeys()) {
    return;
  }
  const caller_team_record* team =
    aRequest.mCallerKey.empty() ? nullptr
                                : routes.FindCallerTeam(aRequest.mCallerKey);
  if (team == nullptr && !aRequest.mIsPublic) {
    RefuseKey(aKeys, aHooks, aRequest);
    return;
  }
  aRequest.mForwarded = aHooks.mFields.mSetTeam(*aRequest.mForwarded, team);
  if (team == nullptr) {
    return;
  }
  SetTeam(aKeys, *team, aRequest);
  bool maySend =
    aRequest.mMaySend == nullptr || (*aRequest.mMaySend)(aHooks.mNow());
  if (!maySend) {
    aRequest.Refuse(refusal_reason::NotConfirmed,
                    "This host can't confirm that the request's API key is "
                    "still valid.",
                    kRetryAfter);
  }
}

}

filter
MakeAuthenticate(caller_key_controller& aKeys, authenticate_hooks aHooks)
{
  return { filter_name::Authenticate,
           filter_condition::NotRefused,
           [&aKeys, hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             Authenticate(aKeys, hooks, aRequest);
             co_return;
           } };
}

void
AuthenticateSubquery(caller_key_controller& aKeys,
                     const caller_field_hooks& aFields,
                     request_context& aRequest)
{
  aRequest.mCallerTeam.mValue =
    std::string(aFields.mTeamOf(*aRequest.mForwarded));
  if (aRequest.mCallerTeam.IsEmpty()) {
    return;
  }
  aRequest.mFingerprint =
    FingerprintOf(aRequest.mFingerprint, aRequest.mCallerTeam);
  if (!aKeys.IsStrict()) {
    return;
  }
  aRequest.mMaySend = std::make_shared<const send_check>(
    [&aKeys, number = aRequest.mConfiguration](steady_time aNow) {
      return aKeys.JudgeSubquery(number, aNow) == key_verdict::Usable;
    });
}

}

#pragma once

#include "controllers/caller_key_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

/** How the protocol of a front end names the caller's team to servers. */
struct caller_field_hooks
{
  /**
   * The request with the name of the team, or without one if it is null. The
   * key, and any name that the caller sent, are removed.
   */
  std::function<std::shared_ptr<const forwarded_request>(
    const forwarded_request&,
    const caller_team_record*)>
    mSetTeam;
  /** The name that `mSetTeam` has set; empty if none. */
  std::function<std::string_view(const forwarded_request&)> mTeamOf;
};

struct authenticate_hooks
{
  std::function<steady_time()> mNow;
  /** The routes in force. */
  std::function<std::shared_ptr<const route_table>()> mRoutes;
  /** The routes were confirmed so recently that no other configuration is due
   * to be in force. */
  std::function<bool(steady_time)> mAreRoutesConfirmed;
  caller_field_hooks mFields;
};

/** Finds the caller's team by its key, and refuses requests without a known
 * key, unless their route is public or the configuration requires no keys. */
filter
MakeAuthenticate(caller_key_controller& aKeys, authenticate_hooks aHooks);

/** Lets a subquery of a caller's team be sent only while this host may use
 * keys. */
void
AuthenticateSubquery(caller_key_controller& aKeys,
                     const caller_field_hooks& aFields,
                     request_context& aRequest);

}

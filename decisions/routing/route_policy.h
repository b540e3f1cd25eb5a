#pragma once

#include "decisions/routing/configuration.h"
#include "decisions/routing/team_policy.h"

namespace hibiscusspool {

/** The template of the teams that are generated from routes. */
const template_record&
RouteTemplate();

/** The team of a route, with the route's values as template parameters. */
team_record
TeamOf(const route_record& aRoute);

/** The policy of the route's team; errors are those of `ExpandTemplate`. */
result<team_policy, policy_error>
PolicyOf(const route_record& aRoute);

}

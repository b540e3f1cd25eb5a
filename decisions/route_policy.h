#pragma once

#include "decisions/configuration.h"
#include "decisions/team_policy.h"

namespace hibiscusspool {

/** The template that each route of a configuration fills in as a team. */
const template_record&
RouteTemplate();

/** A route's team: the route's values are the template's parameters. */
team_record
TeamOf(const route_record& aRoute);

/** What the route's team may do; errors are those of `ExpandTemplate`. */
result<team_policy, policy_error>
PolicyOf(const route_record& aRoute);

}

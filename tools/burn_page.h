#pragma once

#include "tools/report_data.h"

#include <string>

namespace hibiscusspool {

/** Renders the error budget burn as one HTML page with inline SVG plots. */
std::string
RenderBurnPage(const system_report& aReport);

/** The fraction of good requests, 0 to 1, that a team's objective requires. */
double
ObjectiveTarget(const team_policy& aPolicy, objective aObjective);

}

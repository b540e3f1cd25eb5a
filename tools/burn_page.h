#pragma once

#include "tools/report_data.h"

#include <string>

namespace hibiscusspool {

/** The service-level burn as one HTML file with its plots inside. */
std::string
MakeBurnPage(const system_report& aReport);

/** The objective's share of good requests for a team. */
double
ShareOf(const team_policy& aPolicy, objective aObjective);

}

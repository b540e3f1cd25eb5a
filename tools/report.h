#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Runs `report burn|tail|coverage|refusals`; returns the exit code. */
int
RunReport(const std::vector<std::string>& aArguments);

}

#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Runs `recover`, which shows the log of a stopped control host or makes that
 * host the only member of its group; returns the exit code. */
int
RunRecover(const std::vector<std::string>& aArguments);

}

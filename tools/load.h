#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Runs `load --plan FILE` or `load compare A B`; returns the exit code. */
int
RunLoad(const std::vector<std::string>& aArguments);

}

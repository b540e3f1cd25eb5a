#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Runs the `admin` command line; returns the process exit code. */
int
RunAdmin(const std::vector<std::string>& aArguments);

}

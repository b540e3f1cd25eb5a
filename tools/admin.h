#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Runs `admin …`; returns the exit code. */
int
RunAdmin(const std::vector<std::string>& aArguments);

}

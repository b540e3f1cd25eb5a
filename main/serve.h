#pragma once

#include "settings/settings.h"

namespace hibiscusspool {

/** Runs the roles that the settings name until a signal; the exit code. */
int
Serve(const std::string& aPath, const settings& aSettings);

}

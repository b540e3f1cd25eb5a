#pragma once

#include "settings/settings.h"

namespace hibiscusspool {

/** Runs the configured roles until a stop signal; returns the exit code. */
int
Serve(const std::string& aPath, const repaired_settings& aLoaded);

}

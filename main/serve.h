#pragma once

#include "settings/settings.h"

namespace hibiscusspool {

/** Runs the roles that the settings name until a signal; the exit code. */
int
Serve(const settings& aSettings);

}

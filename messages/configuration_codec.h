#pragma once

#include "core/failure.h"
#include "decisions/routing/configuration.h"
#include "messages/control_codec.h"

#include <control.pb.h>

namespace hibiscusspool {

void
WriteConfiguration(const configuration_record& aRecord,
                   wire::ConfigurationRecord& aOut);

/** Errors: `UnknownName` for an unknown kind of route. */
result<configuration_record, codec_error>
ReadConfiguration(const wire::ConfigurationRecord& aIn);

}

#pragma once

#include "core/ids.h"
#include "filters/forwarded_message.h"

#include <cstdint>
#include <string>

namespace hibiscusspool {

/** The fingerprint of a body among those with the same seed. */
fingerprint_id
FingerprintOf(const std::string& aBody, std::uint64_t aSeed);

/** The fingerprint of a forwarded request: its method, host, target and body,
 * which a caller's retry has in common with it. */
fingerprint_id
FingerprintOf(const forwarded_request& aRequest, const std::string& aBody);

/** The fingerprint of a request as one of a caller's team, whichever of its
 * keys the caller presents. */
fingerprint_id
FingerprintOf(const fingerprint_id& aRequest, const team_id& aTeam);

}

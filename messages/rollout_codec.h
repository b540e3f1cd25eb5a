#pragma once

#include "decisions/rollout/rollout_counts.h"
#include "decisions/state/rollout_record.h"
#include "messages/codec_error.h"

#include "core/failure.h"

#include <control.pb.h>

namespace hibiscusspool {

void
WriteRollout(const rollout_record& aRecord, wire::RolloutRecord& aOut);
/** Errors: `UnknownName` for an unknown state, `Malformed` for a share or a
 * time out of range. */
result<rollout_record, codec_error>
ReadRollout(const wire::RolloutRecord& aIn);

void
WriteRolloutReport(const rollout_report& aReport, wire::RolloutReport& aOut);
/** Errors: `Malformed` for a histogram with too many buckets. */
result<rollout_report, codec_error>
ReadRolloutReport(const wire::RolloutReport& aIn);

}

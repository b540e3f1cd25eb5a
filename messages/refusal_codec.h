#pragma once

#include "decisions/refusal.h"

#include <control.pb.h>

namespace hibiscusspool {

void
WriteRefusals(const refusal_batch& aBatch, wire::RefusalBatch& aOut);

/** Reads a batch; a reason from a later version reads as `BadRequest`. */
refusal_batch
ReadRefusals(const wire::RefusalBatch& aIn);

}

#pragma once

#include "decisions/admission/refusal.h"

#include <control.pb.h>

namespace hibiscusspool {

void
WriteRefusals(const refusal_batch& aBatch, wire::RefusalBatch& aOut);

/** Reads a batch; an unknown reason of a later version is `BadRequest`. */
refusal_batch
ReadRefusals(const wire::RefusalBatch& aIn);

}

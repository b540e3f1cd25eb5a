#include "messages/refusal_codec.h"

namespace hibiscusspool {

void
WriteRefusals(const refusal_batch& aBatch, wire::RefusalBatch& aOut)
{
  aOut.set_host(aBatch.mHost.mValue);
  aOut.set_incarnation(aBatch.mIncarnation);
  aOut.set_last_number(aBatch.mLastNumber);
  for (const refusal& kept : aBatch.mRefusals) {
    wire::RefusalRecord& out = *aOut.add_refusals();
    out.set_id(kept.mId);
    out.set_number(kept.mNumber);
    out.set_team(kept.mTeam.mValue);
    out.set_request(kept.mRequest.mValue);
    out.set_reason(static_cast<std::uint32_t>(kept.mReason));
    out.set_ran(static_cast<std::uint32_t>(kept.mRan));
    out.set_at_ms(kept.mAt);
    out.set_detail(kept.mDetail);
  }
}

refusal_batch
ReadRefusals(const wire::RefusalBatch& aIn)
{
  refusal_batch batch;
  batch.mHost.mValue = aIn.host();
  batch.mIncarnation = aIn.incarnation();
  batch.mLastNumber = aIn.last_number();
  for (const wire::RefusalRecord& record : aIn.refusals()) {
    refusal kept;
    kept.mId = record.id();
    kept.mNumber = record.number();
    kept.mTeam.mValue = record.team();
    kept.mRequest.mValue = record.request();
    if (record.reason() < kNames<refusal_reason>.size()) {
      kept.mReason = static_cast<refusal_reason>(record.reason());
    }
    if (record.ran() < kNames<execution_status>.size()) {
      kept.mRan = static_cast<execution_status>(record.ran());
    }
    kept.mAt = record.at_ms();
    kept.mDetail = record.detail();
    batch.mRefusals.push_back(std::move(kept));
  }
  return batch;
}

}

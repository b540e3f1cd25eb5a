#include "messages/refusal_codec.h"

namespace hibiscusspool {

void
WriteRefusals(const refusal_batch& aBatch, wire::RefusalBatch& aOut)
{
  aOut.set_host(aBatch.mHost.mValue);
  aOut.set_incarnation(aBatch.mIncarnation);
  aOut.set_last_number(aBatch.mLastNumber);
  for (const refusal& entry : aBatch.mRefusals) {
    wire::RefusalRecord& out = *aOut.add_refusals();
    out.set_id(entry.mId);
    out.set_number(entry.mNumber);
    out.set_team(entry.mTeam.mValue);
    out.set_request(entry.mRequest.mValue);
    out.set_reason(static_cast<std::uint32_t>(entry.mReason));
    out.set_ran(static_cast<std::uint32_t>(entry.mRan));
    out.set_at_ms(entry.mAt);
    out.set_detail(entry.mDetail);
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
    refusal entry;
    entry.mId = record.id();
    entry.mNumber = record.number();
    entry.mTeam.mValue = record.team();
    entry.mRequest.mValue = record.request();
    if (record.reason() < kNames<refusal_reason>.size()) {
      entry.mReason = static_cast<refusal_reason>(record.reason());
    }
    if (record.ran() < kNames<execution_status>.size()) {
      entry.mRan = static_cast<execution_status>(record.ran());
    }
    entry.mAt = record.at_ms();
    entry.mDetail = record.detail();
    batch.mRefusals.push_back(std::move(entry));
  }
  return batch;
}

}

#include "controllers/refusal_controller.h"

namespace hibiscusspool {

refusal
refusal_controller::Record(refusal aRefusal)
{
  aRefusal.mNumber = ++mLastNumber;
  aRefusal.mId = mSelf.mValue + "-" + std::to_string(mIncarnation) + "-" +
                 std::to_string(aRefusal.mNumber);
  mKept.Set(aRefusal.mNumber, aRefusal);
  if (aRefusal.mNumber > mMaxKept) {
    DiscardUpTo(aRefusal.mNumber - mMaxKept);
  }
  return aRefusal;
}

refusal_batch
refusal_controller::ReadAfter(std::uint64_t aNumber, std::size_t aMost) const
{
  refusal_batch batch;
  batch.mHost = mSelf;
  batch.mIncarnation = mIncarnation;
  batch.mLastNumber = mLastNumber;
  std::uint64_t next = std::max(aNumber + 1, mOldest.load());
  while (next <= batch.mLastNumber && batch.mRefusals.size() < aMost) {
    // A number that is given but not kept yet ends the batch for now.
    auto kept = mKept.Get(next);
    if (!kept) {
      break;
    }
    batch.mRefusals.push_back(std::move(*kept));
    ++next;
  }
  return batch;
}

void
refusal_controller::DiscardUpTo(std::uint64_t aNumber)
{
  std::uint64_t oldest = mOldest.load();
  while (oldest <= aNumber &&
         !mOldest.compare_exchange_weak(oldest, aNumber + 1)) {
  }
  for (; oldest <= aNumber; ++oldest) {
    mKept.Take(oldest);
  }
}

}

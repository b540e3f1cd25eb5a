#include "controllers/refusal_controller.h"

namespace hibiscusspool {

refusal
refusal_controller::Record(refusal aRefusal)
{
  aRefusal.mNumber = ++mLastNumber;
  aRefusal.mId = mSelf.mValue + "-" + std::to_string(mIncarnation) + "-" +
                 std::to_string(aRefusal.mNumber);
  mRefusals.Set(aRefusal.mNumber, aRefusal);
  if (aRefusal.mNumber > mMaxRefusals) {
    DiscardUpTo(aRefusal.mNumber - mMaxRefusals);
  }
  return aRefusal;
}

refusal_batch
refusal_controller::ReadAfter(std::uint64_t aNumber,
                              std::size_t aMaxCount) const
{
  refusal_batch batch;
  batch.mHost = mSelf;
  batch.mIncarnation = mIncarnation;
  batch.mLastNumber = mLastNumber;
  std::uint64_t next = std::max(aNumber + 1, mOldestNumber.load());
  while (next <= batch.mLastNumber && batch.mRefusals.size() < aMaxCount) {
    // `Record` has assigned this number but not stored the refusal yet, so the
    // batch ends before it.
    auto kept = mRefusals.Get(next);
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
  std::uint64_t oldest = mOldestNumber.load();
  while (oldest <= aNumber &&
         !mOldestNumber.compare_exchange_weak(oldest, aNumber + 1)) {
  }
  for (; oldest <= aNumber; ++oldest) {
    mRefusals.Take(oldest);
  }
}

}

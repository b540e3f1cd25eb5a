#include "decisions/admission/transfer_sum.h"

namespace hibiscusspool {

transfer_id
transfer_sum::Begin()
{
  mTransfers[++mLast] = {};
  return mLast;
}

std::optional<transfer_id>
transfer_sum::Grow(transfer_id aTransfer, std::uint64_t aBytes)
{
  auto grown = mTransfers.find(aTransfer);
  if (grown == mTransfers.end()) {
    return std::nullopt;
  }
  mBytes += aBytes - grown->second.mBytes;
  grown->second.mBytes = aBytes;
  if (mBytes <= mMaxBytes) {
    return std::nullopt;
  }
  auto largest = grown;
  for (auto entry = mTransfers.begin(); entry != mTransfers.end(); ++entry) {
    bool isLarger = entry->second.mBytes > largest->second.mBytes;
    if (!entry->second.mIsComplete && isLarger) {
      largest = entry;
    }
  }
  transfer_id givenUp = largest->first;
  Release(givenUp);
  return givenUp;
}

void
transfer_sum::Complete(transfer_id aTransfer)
{
  auto found = mTransfers.find(aTransfer);
  if (found != mTransfers.end()) {
    found->second.mIsComplete = true;
  }
}

void
transfer_sum::Release(transfer_id aTransfer)
{
  auto found = mTransfers.find(aTransfer);
  if (found == mTransfers.end()) {
    return;
  }
  mBytes -= found->second.mBytes;
  mTransfers.erase(found);
}

}

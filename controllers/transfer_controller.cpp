#include "controllers/transfer_controller.h"

namespace hibiscusspool {

transfer_id
transfer_controller::Begin(std::function<void()> aEnd)
{
  std::lock_guard guard(mLock);
  transfer_id begun = mSum.Begin();
  mEndHooks[begun] = std::move(aEnd);
  return begun;
}

void
transfer_controller::Grow(transfer_id aTransfer, std::uint64_t aBytes)
{
  std::function<void()> end;
  {
    std::lock_guard guard(mLock);
    auto givenUp = mSum.Grow(aTransfer, aBytes);
    if (!givenUp) {
      return;
    }
    auto found = mEndHooks.find(*givenUp);
    end = std::move(found->second);
    mEndHooks.erase(found);
  }
  end();
}

void
transfer_controller::Complete(transfer_id aTransfer)
{
  std::lock_guard guard(mLock);
  mSum.Complete(aTransfer);
  mEndHooks.erase(aTransfer);
}

void
transfer_controller::Release(transfer_id aTransfer)
{
  std::lock_guard guard(mLock);
  mSum.Release(aTransfer);
  mEndHooks.erase(aTransfer);
}

std::uint64_t
transfer_controller::Bytes() const
{
  std::lock_guard guard(mLock);
  return mSum.Bytes();
}

held_transfer::~held_transfer()
{
  if (mTransfer != 0) {
    mController->Release(mTransfer);
  }
}

void
held_transfer::Grow(std::uint64_t aBytes)
{
  if (mController == nullptr) {
    return;
  }
  if (mTransfer == 0) {
    if (aBytes < kMinCountedBytes) {
      return;
    }
    mTransfer = mController->Begin(mEnd);
  }
  mController->Grow(mTransfer, aBytes);
}

void
held_transfer::Complete()
{
  if (mTransfer != 0) {
    mController->Complete(mTransfer);
  }
}

}

#pragma once

#include "decisions/admission/transfer_sum.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace hibiscusspool {

/** The message bodies that this host holds; a sum over the whole host, so it is
 * one shard. */
class transfer_controller
{
  mutable std::mutex mLock;
  transfer_sum mSum;
  /** End the transfers that are still being received. */
  std::map<transfer_id, std::function<void()>> mEndHooks;

public:
  explicit transfer_controller(std::uint64_t aMaxBytes)
    : mSum(aMaxBytes)
  {
  }

  /** Begins a transfer; `aEnd` ends it, and is called without a lock held. */
  transfer_id Begin(std::function<void()> aEnd);
  /** Sets the size of a body, and ends a transfer if the sum is too large. */
  void Grow(transfer_id aTransfer, std::uint64_t aBytes);
  void Complete(transfer_id aTransfer);
  void Release(transfer_id aTransfer);
  [[nodiscard]] std::uint64_t Bytes() const;
};

/**
 * Counts one body while it is received and held. Small bodies are not counted,
 * since most are.
 */
class held_transfer
{
  std::shared_ptr<transfer_controller> mController;
  std::function<void()> mEnd;
  /** 0 while the body is small. */
  transfer_id mTransfer = 0;

public:
  static constexpr std::uint64_t kMinCountedBytes = 16 << 10;

  /** `aController` may be null: nothing is counted then. */
  held_transfer(std::shared_ptr<transfer_controller> aController,
                std::function<void()> aEnd)
    : mController(std::move(aController))
    , mEnd(std::move(aEnd))
  {
  }
  held_transfer(const held_transfer&) = delete;
  held_transfer& operator=(const held_transfer&) = delete;
  ~held_transfer();

  void Grow(std::uint64_t aBytes);
  /** The body is complete and is not ended any more. */
  void Complete();
  [[nodiscard]] bool IsCounted() const { return mTransfer != 0; }
};

}

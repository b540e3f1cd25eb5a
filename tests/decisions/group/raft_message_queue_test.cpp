#include "decisions/group/raft_message_queue.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr std::size_t kMebibyte = 1 << 20;

raft_message
Append(log_index aIndex, std::size_t aBytes)
{
  raft_message message;
  message.mIndex = aIndex;
  message.mEntries.push_back(
    { 1, aIndex, std::string(aBytes, 'e'), std::nullopt });
  return message;
}

}

TEST_GROUP(raft_message_queue)
{
  raft_message_queue mQueue;
};

// Guards against a leader that runs out of memory: messages to a member that is
// cut off were bounded by their number alone.
TEST(raft_message_queue, DropsTheOldestBeyondItsBytes)
{
  for (log_index index = 1; index <= 100; ++index) {
    mQueue.Push(Append(index, kMebibyte / 2));
    CHECK(mQueue.Bytes() <= raft_message_queue::kMaxBytes);
  }
  auto taken = mQueue.Take(1000, 1000 * kMebibyte);
  LONGS_EQUAL(8, taken.size());
  LONGS_EQUAL(100, taken.back().mIndex);
  LONGS_EQUAL(0, mQueue.Bytes());
}

TEST(raft_message_queue, KeepsTheNewestWhateverItsSize)
{
  mQueue.Push(Append(1, 100));
  mQueue.Push(Append(2, 2 * raft_message_queue::kMaxBytes));
  LONGS_EQUAL(1, mQueue.Count());
  LONGS_EQUAL(2, mQueue.Take(1, 1).front().mIndex);
}

TEST(raft_message_queue, TakesUpToANumberAndASize)
{
  for (log_index index = 1; index <= 10; ++index) {
    mQueue.Push(Append(index, 1000));
  }
  LONGS_EQUAL(3, mQueue.Take(3, 100'000).size());
  LONGS_EQUAL(2, mQueue.Take(10, 2500).size());
  LONGS_EQUAL(1, mQueue.Take(10, 10).size());
  LONGS_EQUAL(4, mQueue.Count());
}

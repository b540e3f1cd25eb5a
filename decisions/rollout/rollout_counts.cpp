#include "decisions/rollout/rollout_counts.h"

#include <algorithm>
#include <numeric>

namespace hibiscusspool {

namespace {

std::array<std::int64_t, kLatencyBuckets>
MakeEdges()
{
  // Two buckets double the edge; the factor 1.414 keeps the edges integers.
  constexpr std::int64_t kFirstEdgeUs = 1000;
  constexpr std::int64_t kSecondEdgeUs = 1414;
  std::array<std::int64_t, kLatencyBuckets> edges{};
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    std::int64_t base = bucket % 2 == 0 ? kFirstEdgeUs : kSecondEdgeUs;
    edges[bucket] = base << (bucket / 2);
  }
  return edges;
}

const std::array<std::int64_t, kLatencyBuckets> kEdges = MakeEdges();

}

microseconds
BucketEdge(std::size_t aBucket)
{
  return microseconds(kEdges.at(aBucket));
}

std::size_t
BucketOf(microseconds aDuration)
{
  std::size_t bucket = 0;
  while (bucket + 1 < kLatencyBuckets && kEdges[bucket] < aDuration.count()) {
    ++bucket;
  }
  return bucket;
}

void
rollout_counts::Add(const rollout_counts& aOther)
{
  mRequests += aOther.mRequests;
  mFailures += aOther.mFailures;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    mAnswered[bucket] += aOther.mAnswered[bucket];
    mCancelled[bucket] += aOther.mCancelled[bucket];
  }
}

void
rollout_counts::Subtract(const rollout_counts& aEarlier)
{
  mRequests -= std::min(mRequests, aEarlier.mRequests);
  mFailures -= std::min(mFailures, aEarlier.mFailures);
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    mAnswered[bucket] -=
      std::min(mAnswered[bucket], aEarlier.mAnswered[bucket]);
    mCancelled[bucket] -=
      std::min(mCancelled[bucket], aEarlier.mCancelled[bucket]);
  }
}

std::uint64_t
rollout_counts::Known() const
{
  std::uint64_t cancelled =
    std::accumulate(mCancelled.begin(), mCancelled.end(), std::uint64_t{ 0 });
  return mRequests > cancelled ? mRequests - cancelled : 0;
}

}

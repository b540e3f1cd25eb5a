#include "decisions/servers/replica_choice.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace hibiscusspool {

namespace {

/** The better of two random candidates; null if there are none. */
const replica_candidate*
PickBetterOfTwo(std::span<const replica_candidate> aCandidates,
                std::mt19937_64& aRandom)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  if (aCandidates.size() == 1) {
    return &aCandidates.front();
  }
  std::uniform_int_distribution<std::size_t> first(0, aCandidates.size() - 1);
  std::uniform_int_distribution<std::size_t> second(0, aCandidates.size() - 2);
  std::size_t one = first(aRandom);
  std::size_t other = second(aRandom);
  // Skips the first choice, so that two different candidates are compared.
  other += other >= one ? 1 : 0;
  bool isOne = IsBetter(aCandidates[one], aCandidates[other]);
  return &aCandidates[isOne ? one : other];
}

}

microseconds
ExpectedTime(const replica_candidate& aCandidate)
{
  return aCandidate.mPenalty +
         aCandidate.mServiceTime *
           static_cast<std::int64_t>(aCandidate.mOutstanding + 1);
}

bool
IsBetter(const replica_candidate& aOne, const replica_candidate& aOther)
{
  return std::tuple(ExpectedTime(aOne).count(),
                    !aOne.mHasConnection,
                    !aOne.mIsOwnDomain) <
         std::tuple(ExpectedTime(aOther).count(),
                    !aOther.mHasConnection,
                    !aOther.mIsOwnDomain);
}

std::optional<std::size_t>
PickReplica(std::vector<replica_candidate> aCandidates,
            std::mt19937_64& aRandom)
{
  auto others = std::partition(
    aCandidates.begin(), aCandidates.end(), [](const replica_candidate& aOne) {
      return aOne.mIsOwnDomain;
    });
  const replica_candidate* own =
    PickBetterOfTwo({ aCandidates.begin(), others }, aRandom);
  const replica_candidate* other =
    PickBetterOfTwo({ others, aCandidates.end() }, aRandom);
  if (own == nullptr && other == nullptr) {
    return std::nullopt;
  }
  if (own == nullptr || other == nullptr) {
    return (own != nullptr ? own : other)->mPosition;
  }
  return (IsBetter(*other, *own) ? other : own)->mPosition;
}

}

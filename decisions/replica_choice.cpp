#include "decisions/replica_choice.h"

#include <tuple>

namespace hibiscusspool {

microseconds
ExpectedTime(const replica_candidate& aCandidate)
{
  return aCandidate.mDistance + aCandidate.mFailureCost +
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
PickReplica(const std::vector<replica_candidate>& aCandidates,
            std::mt19937_64& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  if (aCandidates.size() == 1) {
    return aCandidates.front().mPlace;
  }
  std::uniform_int_distribution<std::size_t> first(0, aCandidates.size() - 1);
  std::uniform_int_distribution<std::size_t> second(0, aCandidates.size() - 2);
  std::size_t one = first(aRandom);
  std::size_t other = second(aRandom);
  // Skips the first choice, so that two different ones are compared.
  other += other >= one ? 1 : 0;
  bool isOne = IsBetter(aCandidates[one], aCandidates[other]);
  return aCandidates[isOne ? one : other].mPlace;
}

}

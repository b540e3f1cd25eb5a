#include "decisions/admission/client_load.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Connections whose last progress is in the same step are equally stalled, so
 * that a client which sends a byte now and then gains nothing by it. */
constexpr milliseconds kStallStep{ 250 };
/** Bytes are reduced to this part of their limit at a time: the choice looks at
 * all connections, and many clients at the limit must not cost one each. */
constexpr std::uint64_t kReducedNumerator = 7;
constexpr std::uint64_t kReducedDenominator = 8;
/** Connections that are being closed and still hold descriptors, as a part of
 * the limit and at least this many. */
constexpr std::size_t kClosingDenominator = 16;
constexpr std::size_t kMinClosing = 8;

}

void
client_load::Add(const client& aClient)
{
  std::size_t serving = aClient.mPhase == client_phase::Serving ? 1 : 0;
  listener& owner = mListeners[aClient.mListener];
  ++mCount;
  ++owner.mCount;
  mServing += serving;
  owner.mServing += serving;
  mBytes += aClient.mBytes;
}

void
client_load::Remove(const client& aClient)
{
  std::size_t serving = aClient.mPhase == client_phase::Serving ? 1 : 0;
  listener& owner = mListeners[aClient.mListener];
  --mCount;
  --owner.mCount;
  mServing -= serving;
  owner.mServing -= serving;
  mBytes -= aClient.mBytes;
}

void
client_load::MarkClosing(client& aClient)
{
  Remove(aClient);
  aClient.mIsClosing = true;
  ++mClosing;
}

void
client_load::AddListener(listener_id aListener, std::size_t aMaxConnections)
{
  mListeners[aListener].mMaxConnections = aMaxConnections;
}

void
client_load::RemoveListener(listener_id aListener)
{
  std::erase_if(mClients, [&](const auto& aEntry) {
    const client& each = aEntry.second;
    bool isRemoved = each.mListener == aListener;
    if (isRemoved && each.mIsClosing) {
      --mClosing;
    } else if (isRemoved) {
      Remove(each);
    }
    return isRemoved;
  });
  mListeners.erase(aListener);
}

bool
client_load::HasRoom(listener_id aListener) const
{
  auto found = mListeners.find(aListener);
  if (found == mListeners.end()) {
    return false;
  }
  const listener& owner = found->second;
  std::size_t maxClosing =
    std::max(kMinClosing, mLimits.mMaxConnections / kClosingDenominator);
  return mServing < mLimits.mMaxConnections &&
         owner.mServing < owner.mMaxConnections && mClosing < maxClosing;
}

client_id
client_load::Open(listener_id aListener, steady_time aNow)
{
  client opened;
  opened.mListener = aListener;
  opened.mProgressAt = aNow;
  Add(opened);
  mClients[++mLast] = opened;
  return mLast;
}

std::optional<client_id>
client_load::LongestStalled(std::optional<listener_id> aListener) const
{
  std::optional<client_id> longest;
  steady_time progressAt = steady_time::max();
  for (const auto& [id, each] : mClients) {
    bool mayClose = !each.mIsClosing && each.mPhase != client_phase::Serving &&
                    (!aListener || each.mListener == *aListener);
    if (mayClose && each.mProgressAt < progressAt) {
      longest = id;
      progressAt = each.mProgressAt;
    }
  }
  return longest;
}

std::vector<client_id>
client_load::ChooseSurplus(listener_id aListener)
{
  std::vector<client_id> chosen;
  auto choose = [&](std::optional<listener_id> aOf) {
    auto longest = LongestStalled(aOf);
    if (longest) {
      MarkClosing(mClients[*longest]);
      chosen.push_back(*longest);
    }
    return longest.has_value();
  };
  const listener& owner = mListeners[aListener];
  while (owner.mCount > owner.mMaxConnections && choose(aListener)) {
  }
  while (mCount > mLimits.mMaxConnections && choose(std::nullopt)) {
  }
  return chosen;
}

void
client_load::Update(client_id aClient,
                    client_phase aPhase,
                    std::uint64_t aBytes,
                    steady_time aNow)
{
  auto found = mClients.find(aClient);
  if (found == mClients.end()) {
    return;
  }
  client& updated = found->second;
  bool staysClosing = updated.mIsClosing && aPhase != client_phase::Serving;
  if (!updated.mIsClosing) {
    Remove(updated);
  } else if (!staysClosing) {
    updated.mIsClosing = false;
    --mClosing;
  }
  updated.mPhase = aPhase;
  updated.mBytes = aBytes;
  updated.mProgressAt = aNow;
  if (!staysClosing) {
    Add(updated);
  }
}

std::vector<client_id>
client_load::ChooseExcess(steady_time aNow)
{
  std::vector<client_id> chosen;
  if (mBytes <= mLimits.mMaxBytes) {
    return chosen;
  }
  struct candidate
  {
    client_id mId = 0;
    std::int64_t mStalledSteps = 0;
    std::uint64_t mBytes = 0;
  };
  std::vector<candidate> candidates;
  for (const auto& [id, each] : mClients) {
    bool mayClose = !each.mIsClosing && each.mPhase != client_phase::Serving &&
                    each.mBytes > kOrdinaryBytes;
    if (mayClose) {
      candidates.push_back(
        { id, (aNow - each.mProgressAt) / kStallStep, each.mBytes });
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const candidate& aLeft, const candidate& aRight) {
              return aLeft.mStalledSteps != aRight.mStalledSteps
                       ? aLeft.mStalledSteps > aRight.mStalledSteps
                       : aLeft.mBytes > aRight.mBytes;
            });
  std::uint64_t reduced =
    mLimits.mMaxBytes / kReducedDenominator * kReducedNumerator;
  for (const candidate& each : candidates) {
    // The last one is bounded by the limits of a single request.
    bool isAlone = each.mBytes == mBytes;
    if (mBytes <= reduced || isAlone) {
      break;
    }
    MarkClosing(mClients[each.mId]);
    chosen.push_back(each.mId);
  }
  return chosen;
}

bool
client_load::IsClosing(client_id aClient) const
{
  auto found = mClients.find(aClient);
  return found != mClients.end() && found->second.mIsClosing;
}

void
client_load::Keep(client_id aClient)
{
  auto found = mClients.find(aClient);
  if (found != mClients.end() && found->second.mIsClosing) {
    found->second.mIsClosing = false;
    --mClosing;
    Add(found->second);
  }
}

void
client_load::Close(client_id aClient)
{
  auto found = mClients.find(aClient);
  if (found == mClients.end()) {
    return;
  }
  if (found->second.mIsClosing) {
    --mClosing;
  } else {
    Remove(found->second);
  }
  mClients.erase(found);
}

}

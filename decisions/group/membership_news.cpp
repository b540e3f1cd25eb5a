#include "decisions/group/membership_news.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace hibiscusspool {

namespace {

/** What a transition says: kind, name, incarnation and state. A later version
 * of the same record with the same state is no transition. */
using transition =
  std::tuple<record_kind, std::string, incarnation_number, int>;

std::optional<transition>
TransitionOf(const record_change& aChange)
{
  if (const auto* host = std::get_if<entry_host_record>(&aChange)) {
    return transition{ record_kind::EntryHost,
                       host->mHost.mValue,
                       host->mIncarnation,
                       static_cast<int>(host->mState) };
  }
  if (const auto* server = std::get_if<server_record>(&aChange)) {
    return transition{ record_kind::Server,
                       server->mServer.mValue,
                       server->mIncarnation,
                       static_cast<int>(server->mState) };
  }
  return std::nullopt;
}

}

std::vector<record_change>
membership_news::OnProposed(const std::vector<record_change>& aChanges)
{
  std::set<transition> known;
  for (const record_change& change : mProposed) {
    if (auto proposed = TransitionOf(change)) {
      known.insert(std::move(*proposed));
    }
  }
  std::vector<record_change> news;
  std::copy_if(aChanges.begin(),
               aChanges.end(),
               std::back_inserter(news),
               [&](const record_change& aChange) {
                 auto proposed = TransitionOf(aChange);
                 return proposed && known.insert(std::move(*proposed)).second;
               });
  mProposed = aChanges;
  if (mProposed.empty()) {
    mFailure.reset();
  }
  return news;
}

bool
membership_news::OnFailed(const std::string& aCause)
{
  return std::exchange(mFailure, aCause) != aCause;
}

bool
membership_news::OnEvaluated(const std::vector<change_outcome>& aOutcomes)
{
  std::vector<record_change> refused;
  for (std::size_t place = 0; place < mProposed.size(); ++place) {
    bool isRecorded = place < aOutcomes.size() &&
                      aOutcomes[place].mVerdict == change_verdict::Accepted;
    if (!isRecorded) {
      refused.push_back(std::move(mProposed[place]));
    }
  }
  mProposed = std::move(refused);
  return std::exchange(mFailure, std::nullopt).has_value();
}

}

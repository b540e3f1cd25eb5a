#include "decisions/group/raft_membership.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

const raft_peer*
FindMember(const std::vector<raft_peer>& aPeers, const raft_peer_id& aId)
{
  auto found =
    std::find_if(aPeers.begin(), aPeers.end(), [&](const auto& aPeer) {
      return aPeer.mId == aId;
    });
  return found == aPeers.end() ? nullptr : &*found;
}

} // namespace

std::vector<member_change>
CompareMembers(const std::vector<raft_peer>& aEarlier,
               const std::vector<raft_peer>& aLater)
{
  std::vector<member_change> changes;
  for (const raft_peer& peer : aEarlier) {
    if (FindMember(aLater, peer.mId) == nullptr) {
      changes.push_back({ peer.mId,
                          peer.mIsVoter ? member_change_kind::VoterRemoved
                                        : member_change_kind::LearnerRemoved });
    }
  }
  for (const raft_peer& peer : aLater) {
    const raft_peer* earlier = FindMember(aEarlier, peer.mId);
    if (earlier == nullptr) {
      changes.push_back({ peer.mId,
                          peer.mIsVoter ? member_change_kind::VoterAdded
                                        : member_change_kind::LearnerAdded });
    } else if (earlier->mIsVoter != peer.mIsVoter) {
      changes.push_back({ peer.mId,
                          peer.mIsVoter ? member_change_kind::Promoted
                                        : member_change_kind::Demoted });
    }
  }
  return changes;
}

}

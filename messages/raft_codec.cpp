#include "messages/raft_codec.h"

namespace hibiscusspool {

namespace {

void
WritePeers(const std::vector<raft_peer>& aPeers, wire::PeerList& aOut)
{
  for (const raft_peer& peer : aPeers) {
    wire::Peer& out = *aOut.add_peers();
    WritePeerId(peer.mId, *out.mutable_id());
    out.set_voter(peer.mIsVoter);
  }
}

std::vector<raft_peer>
ReadPeers(const wire::PeerList& aIn)
{
  std::vector<raft_peer> peers;
  for (const wire::Peer& peer : aIn.peers()) {
    peers.push_back({ ReadPeerId(peer.id()), peer.voter() });
  }
  return peers;
}

}

void
WritePeerId(const raft_peer_id& aPeer, wire::PeerId& aOut)
{
  aOut.set_host(aPeer.mHost.mValue);
  aOut.set_disk(aPeer.mDisk.mValue);
}

raft_peer_id
ReadPeerId(const wire::PeerId& aIn)
{
  return { host_id{ aIn.host() }, disk_id{ aIn.disk() } };
}

void
WriteEntry(const raft_entry& aEntry, wire::Entry& aOut)
{
  aOut.set_term(aEntry.mTerm);
  aOut.set_index(aEntry.mIndex);
  aOut.set_payload(aEntry.mPayload);
  if (aEntry.mPeers) {
    WritePeers(*aEntry.mPeers, *aOut.mutable_peers());
  }
}

raft_entry
ReadEntry(const wire::Entry& aIn)
{
  wire::Entry copy = aIn;
  return TakeEntry(copy);
}

raft_entry
TakeEntry(wire::Entry& aIn)
{
  raft_entry entry;
  entry.mTerm = aIn.term();
  entry.mIndex = aIn.index();
  entry.mPayload = std::move(*aIn.mutable_payload());
  if (aIn.has_peers()) {
    entry.mPeers = ReadPeers(aIn.peers());
  }
  return entry;
}

void
WriteHardState(const raft_hard_state& aState, wire::HardState& aOut)
{
  aOut.set_term(aState.mTerm);
  WritePeerId(aState.mVote, *aOut.mutable_vote());
}

raft_hard_state
ReadHardState(const wire::HardState& aIn)
{
  return { aIn.term(), ReadPeerId(aIn.vote()) };
}

void
WriteSnapshot(const raft_snapshot& aSnapshot, wire::Snapshot& aOut)
{
  aOut.set_index(aSnapshot.mIndex);
  aOut.set_term(aSnapshot.mTerm);
  WritePeers(aSnapshot.mPeers, *aOut.mutable_peers());
  aOut.set_state(aSnapshot.mState);
}

raft_snapshot
ReadSnapshot(const wire::Snapshot& aIn)
{
  return { aIn.index(), aIn.term(), ReadPeers(aIn.peers()), aIn.state() };
}

void
WriteMessage(const raft_message& aMessage, wire::RaftMessage& aOut)
{
  aOut.set_kind(static_cast<std::uint32_t>(aMessage.mKind));
  WritePeerId(aMessage.mFrom, *aOut.mutable_from());
  WritePeerId(aMessage.mTo, *aOut.mutable_to());
  aOut.set_term(aMessage.mTerm);
  aOut.set_index(aMessage.mIndex);
  aOut.set_log_term(aMessage.mLogTerm);
  for (const raft_entry& entry : aMessage.mEntries) {
    WriteEntry(entry, *aOut.add_entries());
  }
  aOut.set_commit(aMessage.mCommit);
  aOut.set_refused(aMessage.mIsRefused);
  aOut.set_transfer(aMessage.mIsLeaderTransfer);
  aOut.set_number(aMessage.mNumber);
  if (aMessage.mSnapshot) {
    WriteSnapshot(*aMessage.mSnapshot, *aOut.mutable_snapshot());
  }
}

result<raft_message, codec_error>
ReadMessage(const wire::RaftMessage& aIn)
{
  auto kind = ReadEnum<raft_message_kind>(aIn.kind());
  if (!kind) {
    return kind.error();
  }
  bool needsSnapshot = kind.value() == raft_message_kind::Snapshot;
  if (needsSnapshot && !aIn.has_snapshot()) {
    return Fail(codec_error::Malformed,
                "A snapshot message contains no snapshot.");
  }
  raft_message message;
  message.mKind = kind.value();
  message.mFrom = ReadPeerId(aIn.from());
  message.mTo = ReadPeerId(aIn.to());
  message.mTerm = aIn.term();
  message.mIndex = aIn.index();
  message.mLogTerm = aIn.log_term();
  for (const wire::Entry& entry : aIn.entries()) {
    message.mEntries.push_back(ReadEntry(entry));
  }
  message.mCommit = aIn.commit();
  message.mIsRefused = aIn.refused();
  message.mIsLeaderTransfer = aIn.transfer();
  message.mNumber = aIn.number();
  if (aIn.has_snapshot()) {
    message.mSnapshot = ReadSnapshot(aIn.snapshot());
  }
  return message;
}

}

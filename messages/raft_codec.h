#pragma once

#include "decisions/group/raft_node.h"
#include "messages/codec_error.h"

#include <control.pb.h>

namespace hibiscusspool {

// The messages that members of the replicated log exchange and the records that
// they store on disk, in pairs of Write and Read like those of the control
// codec.

void
WriteMessage(const raft_message& aMessage, wire::RaftMessage& aOut);
result<raft_message, codec_error>
ReadMessage(const wire::RaftMessage& aIn);

void
WriteEntry(const raft_entry& aEntry, wire::Entry& aOut);
raft_entry
ReadEntry(const wire::Entry& aIn);
/** Like `ReadEntry`, but moves the payload out of the entry. */
raft_entry
TakeEntry(wire::Entry& aIn);

void
WriteHardState(const raft_hard_state& aState, wire::HardState& aOut);
raft_hard_state
ReadHardState(const wire::HardState& aIn);

void
WriteSnapshot(const raft_snapshot& aSnapshot, wire::Snapshot& aOut);
raft_snapshot
ReadSnapshot(const wire::Snapshot& aIn);

void
WritePeerId(const raft_peer_id& aPeer, wire::PeerId& aOut);
raft_peer_id
ReadPeerId(const wire::PeerId& aIn);

}

#pragma once

#include "decisions/state/control_state.h"
#include "messages/codec_error.h"

#include <string>

#include <control.pb.h>

namespace hibiscusspool {

// Each Write function fills a wire message, and each Read function decodes one.
// A Read function fails if a required part of the message is missing or an enum
// value is unknown.

void
WriteChange(const record_change& aChange, wire::RecordChange& aOut);
result<record_change, codec_error>
ReadChange(const wire::RecordChange& aIn);

/** Record changes, encoded as a `wire::WatchDown` without other fields. */
std::string
EncodeChanges(const std::vector<record_change>& aChanges);

void
WriteEntryHost(const entry_host_record& aRecord, wire::EntryHostRecord& aOut);
result<entry_host_record, codec_error>
ReadEntryHost(const wire::EntryHostRecord& aIn);

void
WriteCommand(const change_command& aCommand, wire::Command& aOut);
result<change_command, codec_error>
ReadCommand(const wire::Command& aIn);

void
WriteOutcome(const change_outcome& aOutcome, wire::Outcome& aOut);
result<change_outcome, codec_error>
ReadOutcome(const wire::Outcome& aIn);

/** A command as the payload of a log entry. */
std::string
EncodeCommand(const change_command& aCommand);
result<change_command, codec_error>
DecodeCommand(const std::string& aBytes);

/** The complete control state, encoded for `raft_snapshot::mState`. */
std::string
EncodeState(const control_state& aState);
result<control_state, codec_error>
DecodeState(const std::string& aBytes, control_limits aLimits);

}

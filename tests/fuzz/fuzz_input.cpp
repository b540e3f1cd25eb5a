#include "tests/fuzz/fuzz_input.h"

#include "decisions/state/announcement.h"
#include "decisions/state/control_state.h"
#include "drivers/synced_file.h"
#include "messages/control_codec.h"
#include "messages/operator_json.h"
#include "messages/raft_codec.h"
#include "messages/subquery_codec.h"
#include "settings/settings.h"

#include <algorithm>

namespace fuzz {

using namespace hibiscusspool;

namespace {

/** Checks that a record survives encoding, application and a state snapshot. */
void
TestRecord(record_change aRecord)
{
  control_state state({});
  change_command command;
  command.mChanges.push_back(std::move(aRecord));
  auto decoded = DecodeCommand(EncodeCommand(command));
  state.Apply(1, decoded.value());
  auto restored = DecodeState(EncodeState(state), {});
  if (!restored || restored.value().Records() != state.Records()) {
    __builtin_trap();
  }
}

void
TestFrames(const std::string& aBytes)
{
  std::size_t offset = 0;
  while (auto next = ParseFrame(aBytes, offset)) {
    offset = next->mEnd;
  }
  HasFrameAfter(aBytes, offset);
}

/** Checks that a subquery that can be read survives encoding. */
void
TestSubquery(const std::string& aBytes)
{
  wire::SubqueryRequest message;
  if (!message.ParseFromString(aBytes)) {
    return;
  }
  auto read = ReadSubquery(message);
  if (!read) {
    return;
  }
  wire::SubqueryRequest encoded;
  WriteSubquery(read.value(), encoded);
  auto again = ReadSubquery(encoded);
  if (!again || again.value().mServices != read.value().mServices ||
      again.value().mTimeLeft != read.value().mTimeLeft) {
    __builtin_trap();
  }
}

/** Checks that the update names only services that were asked. */
void
TestSubqueryReply(const std::string& aBytes)
{
  wire::SubqueryReply message;
  if (!message.ParseFromString(aBytes)) {
    return;
  }
  const std::vector<service_id> services{ service_id{ "s" },
                                          service_id{ "t" } };
  auto read = ReadSubqueryUpdate(message, services, { "x-stamp" });
  if (!read) {
    return;
  }
  for (const subquery_part& part : read.value().mParts) {
    if (std::find(services.begin(), services.end(), part.mService) ==
        services.end()) {
      __builtin_trap();
    }
  }
}

}

void
TestOneInput(const std::string& aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  std::string payload = aBytes.substr(1);
  switch (static_cast<input_kind>((aBytes[0] - '0') % 9)) {
    case input_kind::Announcement: {
      auto record = ParseAnnouncement(payload);
      if (record && CheckAnnouncement(record.value())) {
        TestRecord(record.value());
      }
      return;
    }
    case input_kind::Template: {
      auto record = ParseTemplate("name", payload);
      if (record) {
        TestRecord(record.value());
      }
      return;
    }
    case input_kind::Team: {
      auto record = ParseTeam("name", payload);
      if (record) {
        TestRecord(record.value());
      }
      return;
    }
    case input_kind::Settings:
      // An invalid file must yield an error, whatever it contains.
      static_cast<void>(ParseSettings(payload));
      return;
    case input_kind::Frames:
      TestFrames(payload);
      TestFrames(MakeFrame(payload) + payload);
      return;
    case input_kind::Command: {
      auto command = DecodeCommand(payload);
      if (command) {
        control_state state({});
        state.Apply(1, command.value());
      }
      return;
    }
    case input_kind::Message: {
      wire::RaftMessage message;
      if (message.ParseFromString(payload)) {
        static_cast<void>(ReadMessage(message));
      }
      return;
    }
    case input_kind::Subquery:
      TestSubquery(payload);
      return;
    case input_kind::SubqueryReply:
      TestSubqueryReply(payload);
      return;
  }
}

}

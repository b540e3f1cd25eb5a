#include "tests/fuzz/fuzz_input.h"

#include "decisions/announcement.h"
#include "decisions/control_state.h"
#include "drivers/synced_file.h"
#include "messages/control_codec.h"
#include "messages/operator_json.h"
#include "messages/raft_codec.h"
#include "settings/settings.h"

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
  while (offset < aBytes.size()) {
    frame next = ParseFrame(aBytes, offset);
    if (next.mState != frame_state::Complete) {
      return;
    }
    offset = next.mEnd;
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
  switch (static_cast<input_kind>((aBytes[0] - '0') % 7)) {
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
  }
}

}

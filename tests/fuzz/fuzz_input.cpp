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

void
TakeRecord(record_change aRecord)
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
TakeFrames(const std::string& aBytes)
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
  std::string rest = aBytes.substr(1);
  switch (static_cast<way_in>((aBytes[0] - '0') % 7)) {
    case way_in::Announcement: {
      auto record = ParseAnnouncement(rest);
      if (record && CheckAnnouncement(record.value())) {
        TakeRecord(record.value());
      }
      return;
    }
    case way_in::Template: {
      auto record = ParseTemplate("name", rest);
      if (record) {
        TakeRecord(record.value());
      }
      return;
    }
    case way_in::Team: {
      auto record = ParseTeam("name", rest);
      if (record) {
        TakeRecord(record.value());
      }
      return;
    }
    case way_in::Settings:
      // A bad file must be an error, whatever it is made of.
      static_cast<void>(ParseSettings(rest));
      return;
    case way_in::Frames:
      TakeFrames(rest);
      TakeFrames(MakeFrame(rest) + rest);
      return;
    case way_in::Command: {
      auto command = DecodeCommand(rest);
      if (command) {
        control_state state({});
        state.Apply(1, command.value());
      }
      return;
    }
    case way_in::Message: {
      wire::RaftMessage message;
      if (message.ParseFromString(rest)) {
        static_cast<void>(ReadMessage(message));
      }
      return;
    }
  }
}

}

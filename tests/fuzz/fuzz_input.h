#pragma once

#include <string>

namespace fuzz {

/** Ways in for bytes that strangers choose; the input's first byte picks. */
enum class way_in
{
  Announcement,
  Template,
  Team,
  Settings,
  Frames,
  Command,
  Message,
};

/** Feeds bytes to a way in; it must neither crash nor hang. */
void
TestOneInput(const std::string& aBytes);

}

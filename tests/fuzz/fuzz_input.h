#pragma once

#include <string>

namespace fuzz {

/** Parsers of untrusted bytes; the first byte of an input selects one. */
enum class input_kind
{
  Announcement,
  Template,
  Team,
  Settings,
  Frames,
  Command,
  Message,
  Subquery,
  SubqueryReply,
};

/** Feeds an input to its parser, which must neither crash nor hang. */
void
TestOneInput(const std::string& aBytes);

}

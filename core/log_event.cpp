#include "core/log_event.h"

#include <glog/logging.h>

namespace hibiscusspool {

std::string
QuoteLogValue(std::string_view aValue)
{
  bool plain = !aValue.empty() &&
               aValue.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
  if (plain) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (char letter : aValue) {
    if (letter == '\n' || letter == '\r') {
      quoted += ' ';
      continue;
    }
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  quoted += '"';
  return quoted;
}

log_event::log_event(std::string_view aName, severity aSeverity)
  : mSeverity(aSeverity)
{
  mLine << "event=" << aName;
}

log_event::~log_event()
{
  switch (mSeverity) {
    case severity::Info:
      LOG(INFO) << mLine.str();
      return;
    case severity::Warning:
      LOG(WARNING) << mLine.str();
      return;
    case severity::Error:
      LOG(ERROR) << mLine.str();
      return;
  }
}

log_event&
log_event::Add(std::string_view aKey, std::string_view aValue)
{
  AddText(aKey, aValue);
  return *this;
}

void
log_event::AddText(std::string_view aKey, std::string_view aValue)
{
  mLine << ' ' << aKey << '=' << QuoteLogValue(aValue);
}

}

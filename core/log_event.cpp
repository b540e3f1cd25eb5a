#include "core/log_event.h"

#include "core/clock.h"
#include "core/log_writer.h"

#include <ctime>
#include <iomanip>

#include <glog/logging.h>

namespace hibiscusspool {

namespace {

/** The time in UTC with milliseconds, as in 2026-12-04T07:09:35.123Z. */
std::string
TimeText(std::chrono::system_clock::time_point aTime)
{
  std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
       << std::setfill('0') << ToWallMs(aTime) % 1000 << 'Z';
  return text.str();
}

}

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
  mLine << "time=" << TimeText(std::chrono::system_clock::now())
        << " level=" << NameOf(aSeverity) << " event=" << aName;
}

log_event::~log_event()
{
  // A server's lines go to standard output; other commands log by glog alone.
  if (WriteLogLine(mLine.str())) {
    return;
  }
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

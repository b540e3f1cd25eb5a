#include "core/log_event.h"

#include "core/clock.h"
#include "core/log_writer.h"

#include <ctime>
#include <iomanip>

#include <glog/logging.h>

namespace hibiscusspool {

namespace {

/** Formats a time in UTC, such as 2026-12-04T07:09:35.123Z. */
std::string
FormatTime(std::chrono::system_clock::time_point aTime)
{
  std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream formatted;
  formatted << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
            << std::setfill('0') << ToWallMs(aTime) % 1000 << 'Z';
  return formatted.str();
}

}

std::string
QuoteLogValue(std::string_view aValue)
{
  bool isPlain = !aValue.empty() &&
                 aValue.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
  if (isPlain) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (char character : aValue) {
    if (character == '\n' || character == '\r') {
      quoted += ' ';
      continue;
    }
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  quoted += '"';
  return quoted;
}

log_event::log_event(std::string_view aName, severity aSeverity)
  : mSeverity(aSeverity)
{
  mLine << "time=" << FormatTime(std::chrono::system_clock::now())
        << " level=" << NameOf(aSeverity) << " event=" << aName;
}

log_event::~log_event()
{
  // Long-running processes log to standard output; commands without a log
  // writer use glog.
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
  WriteField(aKey, aValue);
  return *this;
}

void
log_event::WriteField(std::string_view aKey, std::string_view aValue)
{
  mLine << ' ' << aKey << '=' << QuoteLogValue(aValue);
}

}

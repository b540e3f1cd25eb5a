#pragma once

#include "core/name_table.h"

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace hibiscusspool {

enum class log_severity
{
  Info,
  Warning,
  Error,
};

template<>
inline constexpr name_table<log_severity, 3> kNames<log_severity>{ {
  { log_severity::Info, "info" },
  { log_severity::Warning, "warning" },
  { log_severity::Error, "error" },
} };

/**
 * One line of the log: `time=… level=… event=NAME key=value …`. Values with
 * white space, quotes, backslashes or equals signs are quoted. The destructor
 * writes the line.
 */
class log_event
{
public:
  using severity = log_severity;

private:
  severity mSeverity;
  std::ostringstream mLine;

  void WriteField(std::string_view aKey, std::string_view aValue);

public:
  explicit log_event(std::string_view aName,
                     severity aSeverity = severity::Info);
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;
  ~log_event();

  log_event& Add(std::string_view aKey, std::string_view aValue);

  template<std::integral number>
  log_event& Add(std::string_view aKey, number aValue)
  {
    mLine << ' ' << aKey << '=' << +aValue;
    return *this;
  }
};

/** Quotes a value as needed in a log line. */
std::string
QuoteLogValue(std::string_view aValue);

}

#pragma once

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace hibiscusspool {

/**
 * One line of the log: `event=NAME key=value …`. Values with blanks, quotes or
 * equals signs are quoted. The line is written when the object goes.
 */
class log_event
{
public:
  enum class severity
  {
    Info,
    Warning,
    Error,
  };

private:
  severity mSeverity;
  std::ostringstream mLine;

  void AddText(std::string_view aKey, std::string_view aValue);

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

/** Writes the value as it appears in a log line. */
std::string
QuoteLogValue(std::string_view aValue);

}

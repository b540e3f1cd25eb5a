#include "drivers/retry_after.h"

#include <charconv>
#include <cmath>
#include <ctime>
#include <string>

namespace hibiscusspool {

namespace {

constexpr double kMillisecondsInSecond = 1000;
/** Values beyond a year are cut to it, so that they can be added to a time. */
constexpr double kMaxSeconds = 365.0 * 24 * 3600;

std::optional<double>
SecondsUntilDate(const std::string& aText, wall_ms aNow)
{
  std::tm date{};
  const char* end = strptime(aText.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return static_cast<double>(timegm(&date)) -
         static_cast<double>(aNow) / kMillisecondsInSecond;
}

}

std::optional<milliseconds>
ParseRetryAfter(std::string_view aText, wall_ms aNow)
{
  std::optional<double> seconds = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, problem] =
    std::from_chars(aText.data(), end, *seconds, std::chars_format::fixed);
  if (problem != std::errc{} || stop != end) {
    seconds = SecondsUntilDate(std::string(aText), aNow);
  }
  if (!seconds || !std::isfinite(*seconds) || *seconds <= 0) {
    return std::nullopt;
  }
  double bounded = std::min(*seconds, kMaxSeconds);
  return milliseconds(std::llround(std::ceil(bounded * kMillisecondsInSecond)));
}

}

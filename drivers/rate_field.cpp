#include "drivers/rate_field.h"

#include "core/text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace hibiscusspool {

namespace {

std::optional<double>
ParseRate(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  std::size_t last = aText.find_last_not_of(kBlanks);
  std::string_view text = aText.substr(first, last - first + 1);
  double rate = 0;
  const char* end = text.data() + text.size();
  auto [stop, problem] =
    std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  bool isTooLarge = problem == std::errc::result_out_of_range;
  if (stop != end || (problem != std::errc{} && !isTooLarge)) {
    return std::nullopt;
  }
  if (isTooLarge && text.front() != '-') {
    // Digits beyond the range of a double are either huge or next to nothing.
    bool isHuge = text.find_first_of("123456789") < text.find('.');
    return isHuge ? kMaxAnnouncedRate : 0;
  }
  if (!std::isfinite(rate) || std::signbit(rate)) {
    return std::nullopt;
  }
  return std::min(rate, kMaxAnnouncedRate);
}

}

rate_notice
ReadRateField(const server_response& aResponse, std::string_view aName)
{
  rate_notice notice{ rate_notice_kind::Unlimited, 0 };
  for (const header_field& field : aResponse.mFields) {
    if (!EqualsIgnoreCase(field.mName, aName)) {
      continue;
    }
    if (notice.mKind == rate_notice_kind::Unlimited) {
      notice.mKind = rate_notice_kind::Malformed;
    }
    std::string_view rest = field.mValue;
    while (!rest.empty()) {
      std::size_t comma = std::min(rest.find(','), rest.size());
      std::optional<double> rate = ParseRate(rest.substr(0, comma));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
      if (!rate) {
        continue;
      }
      bool isFirst = notice.mKind != rate_notice_kind::Limited;
      notice.mPerSecond = isFirst ? *rate : std::min(notice.mPerSecond, *rate);
      notice.mKind = rate_notice_kind::Limited;
    }
  }
  return notice;
}

}

#include "tools/burn_page.h"

#include "tools/text_table.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace hibiscusspool {

namespace {

constexpr double kPlotWidth = 640;
constexpr double kPlotHeight = 120;
constexpr int kPlotPoints = 120;
constexpr wall_ms kMinuteMs = 60'000;

constexpr std::string_view kStyle = R"(<style>
:root{--back:#fff;--text:#1c2128;--soft:#59636e;--line:#d1d9e0;--good:#1a7f37;
--warn:#9a6700;--bad:#cf222e;--plot:#0969da}
@media(prefers-color-scheme:dark){:root{--back:#0d1117;--text:#e6edf3;
--soft:#9198a1;--line:#3d444d;--good:#3fb950;--warn:#d29922;--bad:#f85149;
--plot:#4493f8}}
body{background:var(--back);color:var(--text);font:15px/1.5 system-ui,
sans-serif;max-width:760px;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;width:100%;margin:.5rem 0 1rem}
th,td{text-align:right;padding:.25rem .5rem;
border-bottom:1px solid var(--line)}
th:first-child,td:first-child{text-align:left}
th{color:var(--soft);font-weight:500}
.good{color:var(--good)}.warn{color:var(--warn)}.bad{color:var(--bad)}
.soft{color:var(--soft)}h2{margin-top:2rem}
svg{width:100%;height:auto}
</style>)";

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string_view
CssClass(double aBurnRate)
{
  constexpr double kFastBurnRate = 6;
  if (aBurnRate > kFastBurnRate) {
    return "bad";
  }
  return aBurnRate > 1 ? "warn" : "good";
}

/**
 * Burn rates over five minutes for the last six hours, one point every three
 * minutes.
 */
std::vector<double>
BurnRateSeries(const burn_history& aBurn,
               objective aObjective,
               double aTarget,
               wall_ms aNow)
{
  std::vector<double> rates;
  wall_ms step = WindowLength(burn_window::SixHours).count() / kPlotPoints;
  for (int point = kPlotPoints; point >= 0; --point) {
    wall_ms pointMs = aNow - point * step;
    // Requests after this point must not count in its window.
    burn_count total = aBurn.Count(aObjective, burn_window::ThreeDays, aNow);
    burn_count after;
    burn_count before;
    for (const burn_minute& minute : aBurn.Minutes()) {
      wall_ms start = minute.mMinute * kMinuteMs;
      const burn_count& count =
        minute.mCounts[static_cast<std::size_t>(aObjective)];
      if (start > pointMs) {
        after.Add(count);
      } else if (start <=
                 pointMs - WindowLength(burn_window::FiveMinutes).count()) {
        before.Add(count);
      }
    }
    burn_count window{
      total.mTotal - std::min(total.mTotal, after.mTotal + before.mTotal),
      total.mBad - std::min(total.mBad, after.mBad + before.mBad)
    };
    rates.push_back(BurnRate(window, aTarget));
  }
  return rates;
}

std::string
RenderPlot(const std::vector<double>& aRates, const std::string& aLabel)
{
  double maxRate =
    std::max(2.0, *std::max_element(aRates.begin(), aRates.end()));
  auto yOf = [&](double aRate) {
    return kPlotHeight - aRate / maxRate * (kPlotHeight - 14);
  };
  std::ostringstream plot;
  plot << "<svg viewBox=\"0 0 " << kPlotWidth << ' ' << kPlotHeight + 18
       << "\" role=\"img\" aria-label=\"" << Escape(aLabel) << "\">"
       << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << yOf(1)
       << "\" y2=\"" << yOf(1)
       << "\" stroke=\"var(--warn)\" stroke-dasharray=\"4 4\"/>"
       << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << kPlotHeight
       << "\" y2=\"" << kPlotHeight << "\" stroke=\"var(--line)\"/>"
       << "<polyline fill=\"none\" stroke=\"var(--plot)\" "
          "stroke-width=\"2\" points=\"";
  for (std::size_t point = 0; point < aRates.size(); ++point) {
    double x = static_cast<double>(point) * kPlotWidth /
               static_cast<double>(aRates.size() - 1);
    plot << FormatNumber(x, 1) << ',' << FormatNumber(yOf(aRates[point]), 1)
         << ' ';
  }
  plot << "\"/><g fill=\"var(--soft)\" font-size=\"11\">"
       << "<text x=\"2\" y=\"10\">" << FormatNumber(maxRate, 1)
       << "</text><text x=\"2\" y=\"" << yOf(1) - 3 << "\">1</text>"
       << "<text x=\"0\" y=\"" << kPlotHeight + 14
       << "\">6 h ago</text><text text-anchor=\"end\" x=\"" << kPlotWidth
       << "\" y=\"" << kPlotHeight + 14 << "\">now</text></g></svg>";
  return plot.str();
}

void
RenderTeam(std::ostringstream& aPage,
           const std::string& aTeam,
           const team_report& aReport,
           wall_ms aNow)
{
  aPage << "<h2>" << Escape(aTeam) << "</h2><table><tr><th>objective</th>"
        << "<th>target</th>";
  for (const auto& window : kNames<burn_window>) {
    aPage << "<th>burn " << window.mName << "</th>";
  }
  aPage << "<th>budget left, 3d</th></tr>";
  const burn_history& burn = aReport.mStats.mBurn;
  for (const auto& row : kNames<objective>) {
    double target = ObjectiveTarget(aReport.mPolicy, row.mValue);
    aPage << "<tr><td>" << row.mName << "</td><td>"
          << FormatNumber(target * 100, 2) << "%</td>";
    for (const auto& window : kNames<burn_window>) {
      double rate =
        BurnRate(burn.Count(row.mValue, window.mValue, aNow), target);
      aPage << "<td class=\"" << CssClass(rate) << "\">"
            << FormatNumber(rate, 2) << "</td>";
    }
    double left =
      BudgetLeft(burn.Count(row.mValue, burn_window::ThreeDays, aNow), target);
    aPage << "<td>" << FormatNumber(left * 100, 1) << "%</td></tr>";
  }
  aPage << "</table>";
  for (const auto& row : kNames<objective>) {
    double target = ObjectiveTarget(aReport.mPolicy, row.mValue);
    aPage << "<div class=\"soft\">" << row.mName
          << ": burn rate over 5 minutes</div>"
          << RenderPlot(BurnRateSeries(burn, row.mValue, target, aNow),
                        aTeam + " " + std::string(row.mName) + " burn rate");
  }
}

}

double
ObjectiveTarget(const team_policy& aPolicy, objective aObjective)
{
  switch (aObjective) {
    case objective::Latency:
      return aPolicy.mLatencyTarget;
    case objective::Availability:
      return aPolicy.mAvailabilityTarget;
    case objective::Coverage:
      return aPolicy.mCoverageTarget;
  }
  return 1;
}

std::string
RenderBurnPage(const system_report& aReport)
{
  std::ostringstream page;
  page << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
       << "<meta name=\"viewport\" content=\"width=device-width\">"
       << "<title>Error budget burn</title>" << kStyle
       << "<h1>Error budget burn</h1><p class=\"soft\">Counts from "
       << aReport.mHosts.size() << " entry hosts.";
  if (!aReport.mMissingHosts.empty()) {
    page << " <span class=\"bad\">No response from";
    for (const std::string& host : aReport.mMissingHosts) {
      page << ' ' << Escape(host);
    }
    page << ": their counts are missing.</span>";
  }
  page << " At a burn rate of 1 the budget lasts exactly for its window.</p>";
  for (const auto& [name, team] : aReport.mTeams) {
    RenderTeam(page, name, team, aReport.mCollectedAt);
  }
  page << "</html>\n";
  return page.str();
}

}

#include "tools/report.h"

#include "tools/burn_page.h"
#include "tools/report_data.h"
#include "tools/text_table.h"

#include "drivers/synced_file.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace hibiscusspool {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

enum class report_kind
{
  Burn,
  Tail,
  Coverage,
  Refusals,
};

}

template<>
inline constexpr name_table<report_kind, 4> kNames<report_kind>{ {
  { report_kind::Burn, "burn" },
  { report_kind::Tail, "tail" },
  { report_kind::Coverage, "coverage" },
  { report_kind::Refusals, "refusals" },
} };

namespace {

/** The columns and rows of a report, printed as a text table or as JSON. */
struct report_table
{
  std::vector<std::string> mColumns;
  std::vector<std::vector<std::string>> mRows;

  [[nodiscard]] std::string Text() const
  {
    text_table table(mColumns);
    for (const auto& row : mRows) {
      table.Add(row);
    }
    return table.Text();
  }

  [[nodiscard]] json::array ToJson() const
  {
    json::array items;
    for (const auto& row : mRows) {
      json::object object;
      for (std::size_t column = 0; column < mColumns.size(); ++column) {
        object[mColumns[column]] = ParseCell(row[column]);
      }
      items.push_back(std::move(object));
    }
    return items;
  }

  static json::value ParseCell(const std::string& aText)
  {
    json::error_code error;
    json::value parsed = json::parse(aText, error);
    return !error && parsed.is_number() ? parsed : json::value(aText);
  }
};

report_table
MakeBurnTable(const system_report& aReport)
{
  report_table table;
  table.mColumns = { "team", "objective", "target" };
  for (const auto& window : kNames<burn_window>) {
    table.mColumns.push_back("burn_" + std::string(window.mName));
  }
  table.mColumns.insert(table.mColumns.end(), { "requests_3d", "budget_left" });
  for (const auto& [name, team] : aReport.mTeams) {
    const burn_history& burn = team.mStats.mBurn;
    for (const auto& row : kNames<objective>) {
      double target = ObjectiveTarget(team.mPolicy, row.mValue);
      std::vector<std::string> cells{ name,
                                      std::string(row.mName),
                                      FormatNumber(target, 4) };
      for (const auto& window : kNames<burn_window>) {
        burn_count count =
          burn.Count(row.mValue, window.mValue, aReport.mCollectedAt);
        cells.push_back(FormatNumber(BurnRate(count, target), 2));
      }
      burn_count threeDays =
        burn.Count(row.mValue, burn_window::ThreeDays, aReport.mCollectedAt);
      cells.push_back(std::to_string(threeDays.mTotal));
      cells.push_back(FormatNumber(BudgetLeft(threeDays, target), 3));
      table.mRows.push_back(std::move(cells));
    }
  }
  return table;
}

report_table
MakeTailTable(const system_report& aReport)
{
  report_table table;
  table.mColumns = { "team",   "answered", "p50_ms",   "p90_ms",
                     "p99_ms", "p999_ms",  "attempts", "extra_load" };
  for (const auto& [name, team] : aReport.mTeams) {
    const team_stats& stats = team.mStats;
    double regular = std::max(
      1.0,
      static_cast<double>(stats.mAttempts - stats.mHedges - stats.mRetries));
    double extra =
      static_cast<double>(stats.mHedges + stats.mRetries) / regular;
    table.mRows.push_back({ name,
                            std::to_string(stats.mAnswered),
                            FormatNumber(QuantileOf(stats.mLatency, 0.5), 2),
                            FormatNumber(QuantileOf(stats.mLatency, 0.9), 2),
                            FormatNumber(QuantileOf(stats.mLatency, 0.99), 2),
                            FormatNumber(QuantileOf(stats.mLatency, 0.999), 2),
                            std::to_string(stats.mAttempts),
                            FormatNumber(extra, 4) });
  }
  return table;
}

report_table
MakeCoverageTable(const system_report& aReport)
{
  report_table table;
  table.mColumns = { "team", "answered", "full", "partial", "mean_coverage" };
  for (const auto& [name, team] : aReport.mTeams) {
    const team_stats& stats = team.mStats;
    double answered = std::max(1.0, static_cast<double>(stats.mAnswered));
    table.mRows.push_back({ name,
                            std::to_string(stats.mAnswered),
                            std::to_string(stats.mAnswered - stats.mPartial),
                            std::to_string(stats.mPartial),
                            FormatNumber(stats.mCoverageSum / answered, 4) });
  }
  return table;
}

int
PrintError(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool report: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kExitUsage : kExitFailure;
}

/**
 * Prints the refusals stored by the control hosts, counted by team and reason,
 * and the gaps in their numbering.
 */
int
ReportRefusals(const operators_client& aOperators,
               const options::variables_map& aVariables)
{
  http_client_request request;
  request.mPath = "/v1/refusals?from_ms=" +
                  std::to_string(aVariables["from-ms"].as<wall_ms>());
  auto response = aOperators.Send(request);
  if (!response) {
    return PrintError(response.error());
  }
  if (aVariables.contains("json")) {
    std::cout << json::serialize(response.value()) << "\n";
    return 0;
  }
  const json::object& merged = response.value().as_object();
  std::map<std::array<std::string, 3>, std::uint64_t> counts;
  for (const json::value& entry : merged.at("refusals").as_array()) {
    const json::object& record = entry.as_object();
    ++counts[{ std::string(record.at("team").as_string()),
               std::string(record.at("reason").as_string()),
               std::string(record.at("ran").as_string()) }];
  }
  report_table table;
  table.mColumns = { "team", "reason", "ran", "count" };
  for (const auto& [key, count] : counts) {
    table.mRows.push_back({ key[0], key[1], key[2], std::to_string(count) });
  }
  std::cout << table.Text();
  for (const json::value& entry : merged.at("gaps").as_array()) {
    const json::object& gap = entry.as_object();
    std::cout << "gap: host " << gap.at("host").as_string() << " incarnation "
              << gap.at("incarnation") << " numbers " << gap.at("first")
              << " to " << gap.at("last") << "\n";
  }
  return 0;
}

report_table
MakeTable(report_kind aKind, const system_report& aReport)
{
  switch (aKind) {
    case report_kind::Burn:
      return MakeBurnTable(aReport);
    case report_kind::Tail:
      return MakeTailTable(aReport);
    case report_kind::Coverage:
    case report_kind::Refusals:
      break;
  }
  return MakeCoverageTable(aReport);
}

int
ReportCounts(report_kind aKind,
             const operators_client& aOperators,
             const options::variables_map& aVariables)
{
  wall_ms now = ToWallMs(std::chrono::system_clock::now());
  std::string token;
  std::string tokenFile = aVariables["announce-token"].as<std::string>();
  if (!tokenFile.empty()) {
    auto text = ReadWholeFile(tokenFile);
    if (!text) {
      return PrintError(Fail(tool_error::CannotRead, text.error().mDetail));
    }
    token = text.value().substr(0, text.value().find_first_of("\r\n"));
  }
  auto report = CollectReport(aOperators, token, now);
  if (!report) {
    return PrintError(report.error());
  }
  if (aVariables.contains("html")) {
    std::ofstream page(aVariables["html"].as<std::string>());
    page << RenderBurnPage(report.value());
    if (!page) {
      return PrintError(
        Fail(tool_error::CannotWrite, "Can't write the HTML page."));
    }
  }
  report_table table = MakeTable(aKind, report.value());
  if (aVariables.contains("json")) {
    json::array missing;
    for (const std::string& host : report.value().mMissingHosts) {
      missing.push_back(json::value(host));
    }
    json::object body{ { "rows", table.ToJson() },
                       { "missing_hosts", std::move(missing) } };
    std::cout << json::serialize(body) << "\n";
    return 0;
  }
  std::cout << table.Text();
  for (const std::string& host : report.value().mMissingHosts) {
    std::cout << "no response from " << host << ": its counts are missing\n";
  }
  return 0;
}

}

int
RunReport(const std::vector<std::string>& aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "show this text")(
    "operators",
    options::value<std::string>()->default_value("127.0.0.1:7011"),
    "ip:port,… of the control hosts' operator API")(
    "token",
    options::value<std::string>()->default_value(""),
    "file with the operators' bearer token")(
    "announce-token",
    options::value<std::string>()->default_value(""),
    "file with the entry hosts' bearer token")("json", "print JSON")(
    "html",
    options::value<std::string>(),
    "with burn, tail or coverage: also write the burn page to this file")(
    "from-ms",
    options::value<wall_ms>()->default_value(0),
    "with refusals: start time in ms since the epoch")(
    "kind", options::value<std::string>(), "burn, tail, coverage or refusals");
  options::positional_options_description positional;
  positional.add("kind", 1);
  options::variables_map variables;
  options::store(options::command_line_parser(aArguments)
                   .options(description)
                   .positional(positional)
                   .run(),
                 variables);
  if (variables.contains("help")) {
    std::cout << "hibiscusspool report burn|tail|coverage|refusals\n"
              << description;
    return 0;
  }
  auto kind = ValueOf<report_kind>(
    variables.contains("kind") ? variables["kind"].as<std::string>() : "");
  if (!kind) {
    return PrintError(
      Fail(tool_error::Usage,
           "The kind of report must be burn, tail, coverage or refusals."));
  }
  auto client =
    operators_client::Create(variables["operators"].as<std::string>(),
                             variables["token"].as<std::string>());
  if (!client) {
    return PrintError(client.error());
  }
  if (*kind == report_kind::Refusals) {
    return ReportRefusals(client.value(), variables);
  }
  return ReportCounts(*kind, client.value(), variables);
}

}

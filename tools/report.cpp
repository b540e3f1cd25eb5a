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

constexpr int kFailed = 1;
constexpr int kUsage = 2;

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

/** A report as rows, from which both table and JSON are made. */
struct report_rows
{
  std::vector<std::string> mHead;
  std::vector<std::vector<std::string>> mRows;

  [[nodiscard]] std::string Text() const
  {
    table rows(mHead);
    for (const auto& row : mRows) {
      rows.Add(row);
    }
    return rows.Text();
  }

  [[nodiscard]] json::array Json() const
  {
    json::array all;
    for (const auto& row : mRows) {
      json::object object;
      for (std::size_t place = 0; place < mHead.size(); ++place) {
        object[mHead[place]] = ToValue(row[place]);
      }
      all.push_back(std::move(object));
    }
    return all;
  }

  static json::value ToValue(const std::string& aText)
  {
    json::error_code error;
    json::value parsed = json::parse(aText, error);
    return !error && parsed.is_number() ? parsed : json::value(aText);
  }
};

report_rows
BurnRows(const system_report& aReport)
{
  report_rows rows;
  rows.mHead = { "team", "objective", "target" };
  for (const auto& window : kNames<burn_window>) {
    rows.mHead.push_back("burn_" + std::string(window.mName));
  }
  rows.mHead.insert(rows.mHead.end(), { "requests_3d", "budget_left" });
  for (const auto& [name, team] : aReport.mTeams) {
    const burn_history& burn = team.mAccount.mBurn;
    for (const auto& row : kNames<objective>) {
      double share = ShareOf(team.mPolicy, row.mValue);
      std::vector<std::string> cells{ name,
                                      std::string(row.mName),
                                      NumberText(share, 4) };
      for (const auto& window : kNames<burn_window>) {
        burn_count count =
          burn.Count(row.mValue, window.mValue, aReport.mMadeAt);
        cells.push_back(NumberText(BurnRate(count, share), 2));
      }
      burn_count longest =
        burn.Count(row.mValue, burn_window::ThreeDays, aReport.mMadeAt);
      cells.push_back(std::to_string(longest.mTotal));
      cells.push_back(NumberText(BudgetLeft(longest, share), 3));
      rows.mRows.push_back(std::move(cells));
    }
  }
  return rows;
}

report_rows
TailRows(const system_report& aReport)
{
  report_rows rows;
  rows.mHead = { "team",   "answered", "p50_ms",   "p90_ms",
                 "p99_ms", "p999_ms",  "attempts", "extra_load" };
  for (const auto& [name, team] : aReport.mTeams) {
    const team_stats& account = team.mAccount;
    double regular =
      std::max(1.0,
               static_cast<double>(account.mAttempts - account.mHedges -
                                   account.mRetries));
    double extra =
      static_cast<double>(account.mHedges + account.mRetries) / regular;
    rows.mRows.push_back({ name,
                           std::to_string(account.mAnswered),
                           NumberText(QuantileOf(account.mLatency, 0.5), 2),
                           NumberText(QuantileOf(account.mLatency, 0.9), 2),
                           NumberText(QuantileOf(account.mLatency, 0.99), 2),
                           NumberText(QuantileOf(account.mLatency, 0.999), 2),
                           std::to_string(account.mAttempts),
                           NumberText(extra, 4) });
  }
  return rows;
}

report_rows
CoverageRows(const system_report& aReport)
{
  report_rows rows;
  rows.mHead = { "team", "answered", "full", "partial", "mean_coverage" };
  for (const auto& [name, team] : aReport.mTeams) {
    const team_stats& account = team.mAccount;
    double answered = std::max(1.0, static_cast<double>(account.mAnswered));
    rows.mRows.push_back({ name,
                           std::to_string(account.mAnswered),
                           std::to_string(account.mAnswered - account.mPartial),
                           std::to_string(account.mPartial),
                           NumberText(account.mCoverageSum / answered, 4) });
  }
  return rows;
}

int
FailWith(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool report: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kUsage : kFailed;
}

/** Refusals from the disk hosts, by team and reason, with the gaps. */
int
ReportRefusals(const operators_client& aOperators,
               const options::variables_map& aGiven)
{
  http_client_request order;
  order.mPath =
    "/v1/refusals?from_ms=" + std::to_string(aGiven["from-ms"].as<wall_ms>());
  auto answer = aOperators.Ask(order);
  if (!answer) {
    return FailWith(answer.error());
  }
  if (aGiven.contains("json")) {
    std::cout << json::serialize(answer.value()) << "\n";
    return 0;
  }
  const json::object& account = answer.value().as_object();
  std::map<std::array<std::string, 3>, std::uint64_t> counts;
  for (const json::value& one : account.at("refusals").as_array()) {
    const json::object& kept = one.as_object();
    ++counts[{ std::string(kept.at("team").as_string()),
               std::string(kept.at("reason").as_string()),
               std::string(kept.at("ran").as_string()) }];
  }
  report_rows rows;
  rows.mHead = { "team", "reason", "ran", "count" };
  for (const auto& [key, count] : counts) {
    rows.mRows.push_back({ key[0], key[1], key[2], std::to_string(count) });
  }
  std::cout << rows.Text();
  for (const json::value& one : account.at("gaps").as_array()) {
    const json::object& gap = one.as_object();
    std::cout << "gap: host " << gap.at("host").as_string() << " run "
              << gap.at("incarnation") << " numbers " << gap.at("first")
              << " to " << gap.at("last") << "\n";
  }
  return 0;
}

report_rows
RowsOf(report_kind aKind, const system_report& aReport)
{
  switch (aKind) {
    case report_kind::Burn:
      return BurnRows(aReport);
    case report_kind::Tail:
      return TailRows(aReport);
    case report_kind::Coverage:
    case report_kind::Refusals:
      break;
  }
  return CoverageRows(aReport);
}

int
ReportCounts(report_kind aKind,
             const operators_client& aOperators,
             const options::variables_map& aGiven)
{
  wall_ms now = ToWallMs(std::chrono::system_clock::now());
  std::string token;
  std::string tokenFile = aGiven["announce-token"].as<std::string>();
  if (!tokenFile.empty()) {
    auto text = ReadWholeFile(tokenFile);
    if (!text) {
      return FailWith(Fail(tool_error::CannotRead, text.error().mDetail));
    }
    token = text.value().substr(0, text.value().find_first_of("\r\n"));
  }
  auto report = CollectReport(aOperators, token, now);
  if (!report) {
    return FailWith(report.error());
  }
  if (aGiven.contains("html")) {
    std::ofstream page(aGiven["html"].as<std::string>());
    page << MakeBurnPage(report.value());
    if (!page) {
      return FailWith(
        Fail(tool_error::CannotWrite, "The page can't be written."));
    }
  }
  report_rows rows = RowsOf(aKind, report.value());
  if (aGiven.contains("json")) {
    json::array missing;
    for (const std::string& host : report.value().mMissing) {
      missing.push_back(json::value(host));
    }
    json::object body{ { "rows", rows.Json() },
                       { "missing_hosts", std::move(missing) } };
    std::cout << json::serialize(body) << "\n";
    return 0;
  }
  std::cout << rows.Text();
  for (const std::string& host : report.value().mMissing) {
    std::cout << "no answer from " << host << ": its counts are missing\n";
  }
  return 0;
}

}

int
RunReport(const std::vector<std::string>& aArguments)
{
  options::options_description known("Options");
  known.add_options()("help", "this text")(
    "operators",
    options::value<std::string>()->default_value("127.0.0.1:7011"),
    "addresses of the control hosts' operators' interface")(
    "token",
    options::value<std::string>()->default_value(""),
    "file with the operators' bearer token")(
    "announce-token",
    options::value<std::string>()->default_value(""),
    "file with the entry hosts' bearer token")("json", "print JSON")(
    "html",
    options::value<std::string>(),
    "with burn: also write a page to this file")(
    "from-ms",
    options::value<wall_ms>()->default_value(0),
    "with refusals: since this time, in ms since 1970")(
    "kind", options::value<std::string>(), "burn, tail, coverage, refusals");
  options::positional_options_description places;
  places.add("kind", 1);
  options::variables_map given;
  options::store(options::command_line_parser(aArguments)
                   .options(known)
                   .positional(places)
                   .run(),
                 given);
  if (given.contains("help")) {
    std::cout << "hibiscusspool report burn|tail|coverage|refusals\n" << known;
    return 0;
  }
  auto kind = ValueOf<report_kind>(
    given.contains("kind") ? given["kind"].as<std::string>() : "");
  if (!kind) {
    return FailWith(
      Fail(tool_error::Usage,
           "report needs one of burn, tail, coverage and refusals."));
  }
  auto client = operators_client::Create(given["operators"].as<std::string>(),
                                         given["token"].as<std::string>());
  if (!client) {
    return FailWith(client.error());
  }
  if (*kind == report_kind::Refusals) {
    return ReportRefusals(client.value(), given);
  }
  return ReportCounts(*kind, client.value(), given);
}

}

#include "tools/load.h"

#include "tools/load_run.h"
#include "tools/text_table.h"

#include "drivers/synced_file.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace hibiscusspool {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool load --plan FILE [--json]   generate open-loop load\n"
  "hibiscusspool load compare A B            print two summaries side by side\n"
  "\n"
  "A plan is an INI file with this section:\n"
  "  [load]\n"
  "  ask=ip:port,…           hosts to fetch the list of entry hosts from\n"
  "  mix=TEAM:query:9,TEAM:run:1\n"
  "  rate=200                or SECONDS:RATE,SECONDS:RATE\n"
  "  seconds=10  warm_seconds=0  seed=1  body_bytes=100  bodies=0\n"
  "  timeout_ms=5000  resends=3  failure_domain=\n"
  "  history=FILE  summary=FILE\n";

int
PrintError(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool load: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kExitUsage : kExitFailure;
}

std::string
FormatCell(const json::object& aKind, const std::string& aKey)
{
  const json::value& value = aKind.at(aKey);
  if (value.is_double()) {
    return FormatNumber(value.get_double(), 2);
  }
  return json::serialize(value);
}

const std::vector<std::string> kColumns{
  "sent",   "answered", "partial", "lost",       "resent",        "p50_ms",
  "p90_ms", "p99_ms",   "p999_ms", "longest_ms", "mean_coverage", "refused"
};

std::string
FormatSummary(const json::object& aKinds)
{
  std::vector<std::string> header{ "kind" };
  header.insert(header.end(), kColumns.begin(), kColumns.end());
  text_table table(header);
  for (const auto& [name, kind] : aKinds) {
    std::vector<std::string> row{ std::string(name) };
    for (const std::string& column : kColumns) {
      row.push_back(FormatCell(kind.as_object(), column));
    }
    table.Add(std::move(row));
  }
  return table.Text();
}

result<json::object, tool_error>
ReadSummary(const std::string& aPath)
{
  auto text = ReadWholeFile(aPath);
  if (!text) {
    return Fail(tool_error::CannotRead, text.error().mDetail);
  }
  json::error_code error;
  json::value parsed = json::parse(text.value(), error);
  if (error || !parsed.is_object()) {
    return Fail(tool_error::CannotRead,
                aPath + " is not a load summary in JSON.");
  }
  return parsed.as_object();
}

int
Compare(const std::string& aFirstPath, const std::string& aSecondPath)
{
  auto first = ReadSummary(aFirstPath);
  auto second = ReadSummary(aSecondPath);
  if (!first || !second) {
    return PrintError(first ? second.error() : first.error());
  }
  text_table table({ "kind", "figure", aFirstPath, aSecondPath });
  for (const auto& [name, kind] : first.value()) {
    const json::value* secondKind = second.value().if_contains(name);
    for (const std::string& column : kColumns) {
      table.Add({ std::string(name),
                  column,
                  FormatCell(kind.as_object(), column),
                  secondKind != nullptr
                    ? FormatCell(secondKind->as_object(), column)
                    : "" });
    }
  }
  std::cout << table.Text();
  return 0;
}

int
Run(const std::string& aPlan, bool aAsJson)
{
  auto plan = ReadLoadPlan(aPlan);
  if (!plan) {
    return PrintError(plan.error());
  }
  auto stats = RunLoadPlan(plan.value());
  if (!stats) {
    return PrintError(stats.error());
  }
  json::object kinds = EncodeStats(stats.value());
  if (!plan.value().mSummaryPath.empty()) {
    std::ofstream(plan.value().mSummaryPath) << json::serialize(kinds) << "\n";
  }
  std::cout << (aAsJson ? json::serialize(kinds) + "\n" : FormatSummary(kinds));
  return 0;
}

}

int
RunLoad(const std::vector<std::string>& aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "show this text")(
    "plan", options::value<std::string>(), "plan file")("json", "print JSON")(
    "words", options::value<std::vector<std::string>>(), "compare A B");
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map variables;
  options::store(options::command_line_parser(aArguments)
                   .options(description)
                   .positional(positional)
                   .run(),
                 variables);
  if (variables.contains("help")) {
    std::cout << kUsageText;
    return 0;
  }
  if (variables.contains("words")) {
    const auto& words = variables["words"].as<std::vector<std::string>>();
    if (words.size() == 3 && words[0] == "compare") {
      return Compare(words[1], words[2]);
    }
    return PrintError(
      { tool_error::Usage, "compare needs two summary files." });
  }
  if (!variables.contains("plan")) {
    return PrintError({ tool_error::Usage, "--plan FILE is required." });
  }
  return Run(variables["plan"].as<std::string>(), variables.contains("json"));
}

}

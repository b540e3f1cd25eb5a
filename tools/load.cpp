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

constexpr int kFailed = 1;
constexpr int kUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool load --plan FILE [--json]   send an open load\n"
  "hibiscusspool load compare A B            put two summaries side by side\n"
  "\n"
  "A plan is an INI file with one section:\n"
  "  [load]\n"
  "  ask=ip:port,…           entry hosts to ask first\n"
  "  mix=TEAM:query:9,TEAM:run:1\n"
  "  rate=200                or SECONDS:RATE,SECONDS:RATE\n"
  "  seconds=10  warm_seconds=0  seed=1  body_bytes=100  bodies=0\n"
  "  timeout_ms=5000  resends=3  failure_domain=\n"
  "  history=FILE  summary=FILE\n";

int
FailWith(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool load: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kUsage : kFailed;
}

std::string
Cell(const json::object& aKind, const std::string& aKey)
{
  const json::value& value = aKind.at(aKey);
  if (value.is_double()) {
    return NumberText(value.get_double(), 2);
  }
  return json::serialize(value);
}

const std::vector<std::string> kColumns{
  "sent",   "answered", "partial", "lost",       "resent",        "p50_ms",
  "p90_ms", "p99_ms",   "p999_ms", "longest_ms", "mean_coverage", "refused"
};

std::string
SummaryText(const json::object& aKinds)
{
  std::vector<std::string> head{ "kind" };
  head.insert(head.end(), kColumns.begin(), kColumns.end());
  table rows(head);
  for (const auto& [name, kind] : aKinds) {
    std::vector<std::string> row{ std::string(name) };
    for (const std::string& column : kColumns) {
      row.push_back(Cell(kind.as_object(), column));
    }
    rows.Add(std::move(row));
  }
  return rows.Text();
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
    return Fail(tool_error::CannotRead, aPath + " holds no summary.");
  }
  return parsed.as_object();
}

int
Compare(const std::string& aOne, const std::string& aOther)
{
  auto one = ReadSummary(aOne);
  auto other = ReadSummary(aOther);
  if (!one || !other) {
    return FailWith(one ? other.error() : one.error());
  }
  table rows({ "kind", "figure", aOne, aOther });
  for (const auto& [name, kind] : one.value()) {
    const json::value* second = other.value().if_contains(name);
    for (const std::string& column : kColumns) {
      rows.Add({ std::string(name),
                 column,
                 Cell(kind.as_object(), column),
                 second != nullptr ? Cell(second->as_object(), column) : "" });
    }
  }
  std::cout << rows.Text();
  return 0;
}

int
Run(const std::string& aPlan, bool aAsJson)
{
  auto plan = ReadLoadPlan(aPlan);
  if (!plan) {
    return FailWith(plan.error());
  }
  auto counts = RunLoadPlan(plan.value());
  if (!counts) {
    return FailWith(counts.error());
  }
  json::object kinds = EncodeCounts(counts.value());
  if (!plan.value().mSummary.empty()) {
    std::ofstream(plan.value().mSummary) << json::serialize(kinds) << "\n";
  }
  std::cout << (aAsJson ? json::serialize(kinds) + "\n" : SummaryText(kinds));
  return 0;
}

}

int
RunLoad(const std::vector<std::string>& aArguments)
{
  options::options_description known("Options");
  known.add_options()("help", "this text")(
    "plan", options::value<std::string>(), "the plan's file")("json",
                                                              "print JSON")(
    "words", options::value<std::vector<std::string>>(), "compare A B");
  options::positional_options_description places;
  places.add("words", -1);
  options::variables_map given;
  options::store(options::command_line_parser(aArguments)
                   .options(known)
                   .positional(places)
                   .run(),
                 given);
  if (given.contains("help")) {
    std::cout << kUsageText;
    return 0;
  }
  if (given.contains("words")) {
    const auto& words = given["words"].as<std::vector<std::string>>();
    if (words.size() == 3 && words[0] == "compare") {
      return Compare(words[1], words[2]);
    }
    return FailWith({ tool_error::Usage, "compare needs two summaries." });
  }
  if (!given.contains("plan")) {
    return FailWith({ tool_error::Usage, "--plan FILE is needed." });
  }
  return Run(given["plan"].as<std::string>(), given.contains("json"));
}

}

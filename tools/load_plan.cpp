#include "tools/load_plan.h"

#include "core/address.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <sstream>

namespace hibiscusspool {

namespace options = boost::program_options;

namespace {

std::vector<std::string>
Split(const std::string& aText, char aMark)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, aMark);) {
    parts.push_back(part);
  }
  return parts;
}

failure<tool_error>
Wrong(const std::string& aKey,
      const std::string& aValue,
      const std::string& aAllowed)
{
  return Fail(tool_error::Usage,
              "[load] " + aKey + " is \"" + aValue + "\"; allowed is " +
                aAllowed + ".");
}

options::options_description
KnownKeys()
{
  options::options_description known;
  auto text = [] { return options::value<std::string>(); };
  auto number = [](double aDefault) {
    return options::value<double>()->default_value(aDefault);
  };
  known.add_options()("load.ask", text()->required())(
    "load.failure_domain", text()->default_value(""))(
    "load.seconds", number(10))("load.warm_seconds", number(0))(
    "load.rate", text()->default_value("100"))("load.mix", text()->required())(
    "load.body_bytes", number(100))("load.bodies", number(0))(
    "load.timeout_ms", number(5000))("load.resends", number(3))(
    "load.seed", number(1))("load.history", text()->default_value(""))(
    "load.summary", text()->default_value(""));
  return known;
}

/** `RATE`, or `SECONDS:RATE` with commas between. */
result<std::vector<load_step>, tool_error>
ReadSteps(const std::string& aText)
{
  std::vector<load_step> steps;
  try {
    for (const std::string& part : Split(aText, ',')) {
      auto pair = Split(part, ':');
      bool isPlain = pair.size() == 1;
      steps.push_back({ isPlain ? 0 : std::stod(pair.at(0)),
                        std::stod(pair.at(isPlain ? 0 : 1)) });
    }
  } catch (const std::exception&) {
    return Wrong("rate", aText, "RATE, or SECONDS:RATE,…");
  }
  return steps;
}

/** `TEAM:query:WEIGHT` with commas between. */
result<std::vector<load_share>, tool_error>
ReadMix(const std::string& aText)
{
  std::vector<load_share> mix;
  for (const std::string& part : Split(aText, ',')) {
    auto words = Split(part, ':');
    bool isGood = words.size() >= 2 && words.size() <= 3 &&
                  (words[1] == "query" || words[1] == "run");
    if (!isGood) {
      return Wrong("mix", aText, "TEAM:query|run:WEIGHT,…");
    }
    double weight = words.size() == 3 ? std::atof(words[2].c_str()) : 1;
    mix.push_back({ words[0], words[1] == "run", weight });
  }
  return mix;
}

}

double
load_plan::RateAt(double aSeconds) const
{
  double rate = 0;
  for (const load_step& step : mSteps) {
    if (step.mFromSeconds <= aSeconds) {
      rate = step.mRate;
    }
  }
  return rate;
}

result<load_plan, tool_error>
ReadLoadPlan(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(tool_error::CannotRead, "Can't read " + aPath + ".");
  }
  options::variables_map given;
  try {
    options::store(options::parse_config_file(file, KnownKeys()), given);
    options::notify(given);
  } catch (const options::error& problem) {
    return Fail(tool_error::Usage, aPath + ": " + problem.what());
  }
  auto number = [&](const char* aKey) { return given[aKey].as<double>(); };
  auto text = [&](const char* aKey) { return given[aKey].as<std::string>(); };
  load_plan plan;
  plan.mAsk = Split(text("load.ask"), ',');
  for (const std::string& address : plan.mAsk) {
    if (!ParseAddress(address)) {
      return Wrong("ask", address, "ip:port,…");
    }
  }
  auto steps = ReadSteps(text("load.rate"));
  if (!steps) {
    return steps.error();
  }
  auto mix = ReadMix(text("load.mix"));
  if (!mix) {
    return mix.error();
  }
  plan.mSteps = steps.value();
  plan.mMix = mix.value();
  plan.mFailureDomain = text("load.failure_domain");
  plan.mSeconds = number("load.seconds");
  plan.mWarmSeconds = number("load.warm_seconds");
  plan.mBodyBytes = static_cast<std::size_t>(number("load.body_bytes"));
  plan.mBodies = static_cast<std::uint64_t>(number("load.bodies"));
  plan.mTimeout =
    milliseconds(static_cast<std::int64_t>(number("load.timeout_ms")));
  plan.mResends = static_cast<std::uint32_t>(number("load.resends"));
  plan.mSeed = static_cast<std::uint64_t>(number("load.seed"));
  plan.mHistory = text("load.history");
  plan.mSummary = text("load.summary");
  return plan;
}

}

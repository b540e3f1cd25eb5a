#include "tools/load_plan.h"

#include "core/address.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <sstream>

namespace hibiscusspool {

namespace options = boost::program_options;

namespace {

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

failure<tool_error>
InvalidValue(const std::string& aKey,
             const std::string& aValue,
             const std::string& aAllowed)
{
  return Fail(tool_error::Usage,
              "[load] " + aKey + " is \"" + aValue + "\"; allowed is " +
                aAllowed + ".");
}

options::options_description
PlanOptions()
{
  options::options_description description;
  auto text = [] { return options::value<std::string>(); };
  auto number = [](double aDefault) {
    return options::value<double>()->default_value(aDefault);
  };
  description.add_options()("load.ask", text()->required())(
    "load.failure_domain", text()->default_value(""))(
    "load.seconds", number(10))("load.warm_seconds", number(0))(
    "load.rate", text()->default_value("100"))("load.mix", text()->required())(
    "load.body_bytes", number(100))("load.bodies", number(0))(
    "load.timeout_ms", number(5000))("load.resends", number(3))(
    "load.seed", number(1))("load.history", text()->default_value(""))(
    "load.summary", text()->default_value(""));
  return description;
}

/** Parses `RATE`, or a comma-separated list of `SECONDS:RATE`. */
result<std::vector<rate_step>, tool_error>
ParseRateSteps(const std::string& aText)
{
  std::vector<rate_step> steps;
  try {
    for (const std::string& part : Split(aText, ',')) {
      auto fields = Split(part, ':');
      bool isConstant = fields.size() == 1;
      steps.push_back({ isConstant ? 0 : std::stod(fields.at(0)),
                        std::stod(fields.at(isConstant ? 0 : 1)) });
    }
  } catch (const std::exception&) {
    return InvalidValue("rate", aText, "RATE, or SECONDS:RATE,…");
  }
  return steps;
}

/** Parses a comma-separated list of `TEAM:query|run[:WEIGHT]`. */
result<std::vector<load_mix_entry>, tool_error>
ParseMix(const std::string& aText)
{
  std::vector<load_mix_entry> mix;
  for (const std::string& part : Split(aText, ',')) {
    auto fields = Split(part, ':');
    bool isValid = fields.size() >= 2 && fields.size() <= 3 &&
                   (fields[1] == "query" || fields[1] == "run");
    if (!isValid) {
      return InvalidValue("mix", aText, "TEAM:query|run:WEIGHT,…");
    }
    double weight = fields.size() == 3 ? std::atof(fields[2].c_str()) : 1;
    mix.push_back({ fields[0], fields[1] == "run", weight });
  }
  return mix;
}

}

double
load_plan::RateAt(double aSeconds) const
{
  double rate = 0;
  for (const rate_step& step : mRateSteps) {
    if (step.mStartSeconds <= aSeconds) {
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
    return Fail(tool_error::CannotRead,
                "Can't open the load plan " + aPath + ".");
  }
  options::variables_map variables;
  try {
    options::store(options::parse_config_file(file, PlanOptions()), variables);
    options::notify(variables);
  } catch (const options::error& error) {
    return Fail(tool_error::Usage, aPath + ": " + error.what());
  }
  auto number = [&](const char* aKey) { return variables[aKey].as<double>(); };
  auto text = [&](const char* aKey) {
    return variables[aKey].as<std::string>();
  };
  load_plan plan;
  plan.mDiscoveryAddresses = Split(text("load.ask"), ',');
  for (const std::string& address : plan.mDiscoveryAddresses) {
    if (!ParseAddress(address)) {
      return InvalidValue("ask", address, "ip:port,…");
    }
  }
  auto steps = ParseRateSteps(text("load.rate"));
  if (!steps) {
    return steps.error();
  }
  auto mix = ParseMix(text("load.mix"));
  if (!mix) {
    return mix.error();
  }
  plan.mRateSteps = steps.value();
  plan.mMix = mix.value();
  plan.mFailureDomain = text("load.failure_domain");
  plan.mSeconds = number("load.seconds");
  plan.mWarmupSeconds = number("load.warm_seconds");
  plan.mBodyBytes = static_cast<std::size_t>(number("load.body_bytes"));
  plan.mDistinctBodies = static_cast<std::uint64_t>(number("load.bodies"));
  plan.mTimeout =
    milliseconds(static_cast<std::int64_t>(number("load.timeout_ms")));
  plan.mMaxResends = static_cast<std::uint32_t>(number("load.resends"));
  plan.mSeed = static_cast<std::uint64_t>(number("load.seed"));
  plan.mHistoryPath = text("load.history");
  plan.mSummaryPath = text("load.summary");
  return plan;
}

}

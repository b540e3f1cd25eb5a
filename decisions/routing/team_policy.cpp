#include "decisions/routing/team_policy.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <sstream>

namespace hibiscusspool {

namespace {

result<double, policy_error>
ReadNumber(std::string_view aField,
           const std::string& aText,
           double aMin,
           double aMax)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, problem] = std::from_chars(aText.data(), end, number);
  bool isNumber = problem == std::errc{} && stop == end;
  if (!isNumber || !(number >= aMin && number <= aMax)) {
    std::ostringstream detail;
    detail << aField << " is \"" << aText << "\"; allowed are " << aMin
           << " to " << aMax << ".";
    return Fail(policy_error::BadValue, detail.str());
  }
  return number;
}

service_set
SplitServices(const std::string& aText)
{
  std::set<service_id> names;
  std::istringstream parts(aText);
  for (std::string part; std::getline(parts, part, ',');) {
    std::erase_if(
      part, [](unsigned char aLetter) { return std::isspace(aLetter) != 0; });
    if (!part.empty()) {
      names.insert(service_id{ part });
    }
  }
  return service_set::Create({ names.begin(), names.end() });
}

result<std::string, policy_error>
ExpandText(const std::string& aText,
           const std::map<std::string, std::string>& aValues)
{
  std::string expanded;
  std::size_t position = 0;
  while (true) {
    std::size_t open = aText.find("${", position);
    if (open == std::string::npos) {
      return expanded + aText.substr(position);
    }
    std::size_t close = aText.find('}', open);
    if (close == std::string::npos) {
      return Fail(policy_error::BadValue, "\"${\" has no closing brace.");
    }
    std::string name = aText.substr(open + 2, close - open - 2);
    auto value = aValues.find(name);
    if (value == aValues.end()) {
      return Fail(policy_error::MissingParameter,
                  "Parameter \"" + name +
                    "\" has neither a value nor a default.");
    }
    expanded += aText.substr(position, open - position) + value->second;
    position = close + 1;
  }
}

bool
UsesParameter(const template_record& aTemplate, const std::string& aName)
{
  std::string placeholder = "${" + aName + "}";
  return std::any_of(aTemplate.mFields.begin(),
                     aTemplate.mFields.end(),
                     [&](const auto& aField) {
                       return aField.second.find(placeholder) !=
                              std::string::npos;
                     });
}

constexpr double kMaxConcurrency = 1e6;

using setter = std::function<void(team_policy&, double)>;

struct number_rule
{
  policy_field mField;
  double mMin;
  double mMax;
  setter mSet;
};

milliseconds
ToMilliseconds(double aCount)
{
  return milliseconds(static_cast<std::int64_t>(aCount));
}

const std::vector<number_rule>&
NumberRules()
{
  static const std::vector<number_rule> sRules{
    { policy_field::MinimumCoverage,
      0,
      1,
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mMinimumCoverage = aNumber;
      } },
    { policy_field::WaitMs,
      1,
      static_cast<double>(kMaxWait.count()),
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mMaxWait = ToMilliseconds(aNumber);
      } },
    { policy_field::Concurrency,
      1,
      kMaxConcurrency,
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mConcurrency = static_cast<std::uint32_t>(aNumber);
      } },
    { policy_field::LatencyObjectiveMs,
      1,
      static_cast<double>(kMaxWait.count()),
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mLatencyObjective = ToMilliseconds(aNumber);
      } },
    { policy_field::LatencyObjective,
      0,
      1,
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mLatencyTarget = aNumber;
      } },
    { policy_field::AvailabilityObjective,
      0,
      1,
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mAvailabilityTarget = aNumber;
      } },
    { policy_field::CoverageObjective,
      0,
      1,
      [](team_policy& aPolicy, double aNumber) {
        aPolicy.mCoverageTarget = aNumber;
      } },
  };
  return sRules;
}

result<void, policy_error>
SetField(team_policy& aPolicy, policy_field aField, const std::string& aText)
{
  if (aField == policy_field::Services) {
    aPolicy.mServices = SplitServices(aText);
    return boost::outcome_v2::success();
  }
  if (aField == policy_field::RunService) {
    aPolicy.mRunService = service_id{ aText };
    return boost::outcome_v2::success();
  }
  for (const number_rule& rule : NumberRules()) {
    if (rule.mField != aField) {
      continue;
    }
    auto number = ReadNumber(NameOf(aField), aText, rule.mMin, rule.mMax);
    if (!number) {
      return number.error();
    }
    rule.mSet(aPolicy, number.value());
  }
  return boost::outcome_v2::success();
}

}

result<void, policy_error>
CheckTemplate(const template_record& aTemplate)
{
  for (const auto& [name, text] : aTemplate.mFields) {
    auto field = ValueOf<policy_field>(name);
    if (!field) {
      return Fail(policy_error::UnknownField,
                  "A template has no field \"" + name + "\".");
    }
    if (text.find("${") != std::string::npos) {
      continue;
    }
    team_policy scratch;
    auto checked = SetField(scratch, *field, text);
    if (!checked) {
      return checked.error();
    }
  }
  for (const auto& [name, text] : aTemplate.mDefaults) {
    if (!UsesParameter(aTemplate, name)) {
      return Fail(policy_error::UnknownParameter,
                  "No field uses parameter \"" + name + "\".");
    }
  }
  return boost::outcome_v2::success();
}

result<team_policy, policy_error>
ExpandTemplate(const template_record& aTemplate, const team_record& aTeam)
{
  std::map<std::string, std::string> values = aTemplate.mDefaults;
  for (const auto& [name, text] : aTeam.mParameters) {
    if (!UsesParameter(aTemplate, name)) {
      return Fail(policy_error::UnknownParameter,
                  "Template \"" + aTemplate.mTemplate.mValue +
                    "\" has no parameter \"" + name + "\".");
    }
    values[name] = text;
  }
  team_policy policy;
  for (const auto& [name, text] : aTemplate.mFields) {
    auto field = ValueOf<policy_field>(name);
    if (!field) {
      return Fail(policy_error::UnknownField,
                  "A template has no field \"" + name + "\".");
    }
    auto expanded = ExpandText(text, values);
    if (!expanded) {
      return expanded.error();
    }
    auto set = SetField(policy, *field, expanded.value());
    if (!set) {
      return set.error();
    }
  }
  if (policy.mServices.IsEmpty() && policy.mRunService.IsEmpty()) {
    return Fail(policy_error::BadValue,
                "The policy must name a service: services and run_service are "
                "both empty.");
  }
  return policy;
}

}

#include "messages/json_reader.h"

#include <algorithm>
#include <cmath>

namespace hibiscusspool {

namespace json = boost::json;

result<json_reader, json_error>
json_reader::Create(const std::string& aText, std::size_t aMaxDepth)
{
  json::error_code error;
  json::parse_options options;
  options.max_depth = aMaxDepth;
  json::value value = json::parse(aText, error, {}, options);
  if (error || !value.is_object()) {
    return Fail(json_error::Malformed, "The body must be one JSON object.");
  }
  return json_reader(std::move(value.as_object()));
}

const json::value*
json_reader::Find(const std::string& aKey, bool aIsRequired)
{
  mReadKeys.insert(aKey);
  const json::value* found = mObject.if_contains(aKey);
  if (found == nullptr && aIsRequired) {
    FailAt(json_error::Missing, aKey, "is missing.");
  }
  return found;
}

void
json_reader::FailAt(json_error aCode,
                    const std::string& aKey,
                    const std::string& aDetail)
{
  if (!mFailure) {
    mFailure = Fail(aCode, "\"" + aKey + "\" " + aDetail);
  }
}

std::string
json_reader::Text(const std::string& aKey, bool aIsRequired)
{
  const json::value* found = Find(aKey, aIsRequired);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string()) {
    FailAt(json_error::WrongType, aKey, "must be a string.");
    return {};
  }
  return std::string(found->get_string());
}

std::uint64_t
json_reader::Number(const std::string& aKey,
                    std::uint64_t aMax,
                    bool aIsRequired)
{
  const json::value* found = Find(aKey, aIsRequired);
  if (found == nullptr) {
    return 0;
  }
  json::error_code error;
  auto number = found->to_number<std::uint64_t>(error);
  if (error || found->is_double() || number > aMax) {
    FailAt(json_error::OutOfRange,
           aKey,
           "must be a whole number from 0 to " + std::to_string(aMax) + ".");
    return 0;
  }
  return number;
}

void
json_reader::ForEachItem(const std::string& aKey,
                         const std::string& aItemKind,
                         const std::function<bool(json::value&)>& aAccept)
{
  if (Find(aKey, true) == nullptr) {
    return;
  }
  json::value& found = mObject.at(aKey);
  bool isAccepted = found.is_array() && std::all_of(found.get_array().begin(),
                                                    found.get_array().end(),
                                                    [&](json::value& aItem) {
                                                      return aAccept(aItem);
                                                    });
  if (!isAccepted) {
    FailAt(json_error::WrongType, aKey, "must be a list of " + aItemKind + ".");
  }
}

std::vector<std::uint64_t>
json_reader::Numbers(const std::string& aKey)
{
  std::vector<std::uint64_t> numbers;
  ForEachItem(aKey, "whole numbers", [&](const json::value& aItem) {
    json::error_code error;
    auto number = aItem.to_number<std::uint64_t>(error);
    if (error || aItem.is_double()) {
      return false;
    }
    numbers.push_back(number);
    return true;
  });
  return numbers;
}

bool
json_reader::HasValue(const std::string& aKey) const
{
  const json::value* found = mObject.if_contains(aKey);
  return found != nullptr && !found->is_null();
}

double
json_reader::Decimal(const std::string& aKey, double aMax)
{
  const json::value* found = Find(aKey, true);
  if (found == nullptr) {
    return 0;
  }
  double number = found->is_number() ? found->to_number<double>() : -1;
  if (!std::isfinite(number) || number < 0 || number > aMax) {
    std::ostringstream allowed;
    allowed << "must be a number from 0 to " << aMax << ".";
    FailAt(json_error::OutOfRange, aKey, allowed.str());
    return 0;
  }
  return number;
}

bool
json_reader::Flag(const std::string& aKey)
{
  const boost::json::value* value = Find(aKey, false);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    FailAt(json_error::WrongType, aKey, "must be true or false");
    return false;
  }
  return value->get_bool();
}

std::vector<std::string>
json_reader::Strings(const std::string& aKey)
{
  std::vector<std::string> texts;
  ForEachItem(aKey, "strings", [&](const json::value& aItem) {
    if (!aItem.is_string()) {
      return false;
    }
    texts.emplace_back(aItem.get_string());
    return true;
  });
  return texts;
}

void
json_reader::ReadObject(const std::string& aKey,
                        json::value& aValue,
                        const std::function<void(json_reader&)>& aRead)
{
  if (!aValue.is_object()) {
    FailAt(
      json_error::WrongType, aKey, "must be an object or a list of objects.");
    return;
  }
  json_reader reader(std::move(aValue.get_object()));
  aRead(reader);
  if (!mFailure && reader.mFailure) {
    mFailure = Fail(reader.mFailure->mCode,
                    "In \"" + aKey + "\": " + reader.mFailure->mDetail);
  }
}

void
json_reader::ForEachObject(const std::string& aKey,
                           const std::function<void(json_reader&)>& aRead)
{
  ForEachItem(aKey, "objects", [&](json::value& aItem) {
    ReadObject(aKey, aItem, aRead);
    return true;
  });
}

void
json_reader::WithObject(const std::string& aKey,
                        const std::function<void(json_reader&)>& aRead)
{
  const json::value* found = Find(aKey, true);
  if (found != nullptr) {
    ReadObject(aKey, mObject.at(aKey), aRead);
  }
}

std::optional<std::string>
ScalarText(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  if (aValue.is_int64() || aValue.is_uint64() || aValue.is_bool()) {
    return json::serialize(aValue);
  }
  if (aValue.is_double()) {
    // Writes 0.95 instead of 9.5E-1, which is hard to read in a report.
    std::ostringstream text;
    text << aValue.get_double();
    return text.str();
  }
  if (!aValue.is_array()) {
    return std::nullopt;
  }
  std::string joined;
  for (const json::value& item : aValue.get_array()) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    joined += (joined.empty() ? "" : ",") + std::string(item.get_string());
  }
  return joined;
}

std::map<std::string, std::string>
json_reader::TextMap(const std::string& aKey)
{
  std::map<std::string, std::string> texts;
  const json::value* found = Find(aKey, false);
  if (found == nullptr) {
    return texts;
  }
  if (!found->is_object()) {
    FailAt(json_error::WrongType, aKey, "must be an object.");
    return texts;
  }
  for (const auto& [name, value] : found->get_object()) {
    AddText(std::string(name), value, texts);
  }
  return texts;
}

void
json_reader::AddText(const std::string& aKey,
                     const json::value& aValue,
                     std::map<std::string, std::string>& aTexts)
{
  auto text = ScalarText(aValue);
  if (!text) {
    FailAt(json_error::WrongType,
           aKey,
           "must be a string, a number or a list of strings.");
    return;
  }
  aTexts[aKey] = *text;
}

std::map<std::string, std::string>
json_reader::RemainingTexts()
{
  std::map<std::string, std::string> texts;
  for (const auto& [name, value] : mObject) {
    std::string key(name);
    if (mReadKeys.insert(key).second) {
      AddText(key, value, texts);
    }
  }
  return texts;
}

std::optional<failure<json_error>>
json_reader::Finish()
{
  for (const auto& [name, value] : mObject) {
    std::string key(name);
    if (!mReadKeys.contains(key)) {
      FailAt(json_error::Unknown, key, "is not a known field.");
    }
  }
  return mFailure;
}

}

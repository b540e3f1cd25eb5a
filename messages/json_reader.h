#pragma once

#include "core/failure.h"
#include "core/name_table.h"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class json_error
{
  Malformed,
  WrongType,
  Missing,
  Unknown,
  OutOfRange,
};

template<>
inline constexpr name_table<json_error, 5> kNames<json_error>{ {
  { json_error::Malformed, "malformed" },
  { json_error::WrongType, "wrong_type" },
  { json_error::Missing, "missing" },
  { json_error::Unknown, "unknown" },
  { json_error::OutOfRange, "out_of_range" },
} };

/**
 * Reads one JSON object key by key and keeps the first failure, which names
 * the key. `Finish` takes keys that nobody asked for as a failure too.
 */
class json_reader
{
  boost::json::object mObject;
  std::set<std::string> mAsked;
  std::optional<failure<json_error>> mFailure;

  explicit json_reader(boost::json::object aObject)
    : mObject(std::move(aObject))
  {
  }

  const boost::json::value* Find(const std::string& aKey, bool aIsNeeded);
  void FailAt(json_error aCode,
              const std::string& aKey,
              const std::string& aDetail);
  /** Hands on each item of a list, until one isn't taken. */
  void ForEachItem(const std::string& aKey,
                   const std::string& aItems,
                   const std::function<bool(boost::json::value&)>& aTake);
  void ReadObject(const std::string& aKey,
                  boost::json::value& aValue,
                  const std::function<void(json_reader&)>& aBody);
  void AddText(const std::string& aKey,
               const boost::json::value& aValue,
               std::map<std::string, std::string>& aTexts);

public:
  /** Levels of nesting that a text may have. */
  static constexpr std::size_t kMaxDepth = 8;

  /** Errors: `Malformed` when the text is not one JSON object. */
  static result<json_reader, json_error> Create(
    const std::string& aText,
    std::size_t aMostDepth = kMaxDepth);

  /** True when the key is there. */
  [[nodiscard]] bool Contains(const std::string& aKey) const
  {
    return mObject.contains(aKey);
  }
  /** True when the key is there and not null. */
  [[nodiscard]] bool HasValue(const std::string& aKey) const;

  std::string Text(const std::string& aKey, bool aIsNeeded = true);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aHighest,
                       bool aIsNeeded = true);
  std::vector<std::uint64_t> Numbers(const std::string& aKey);
  /** A number of zero or more, whole or not. */
  double Decimal(const std::string& aKey);
  /** A list of strings. */
  std::vector<std::string> Strings(const std::string& aKey);
  /** Runs `aBody` on each object of a list; their failures count here too. */
  void ForEachObject(const std::string& aKey,
                     const std::function<void(json_reader&)>& aBody);
  /** Runs `aBody` on the object under a key; its failure counts here too. */
  void WithObject(const std::string& aKey,
                  const std::function<void(json_reader&)>& aBody);
  /** An object of scalars, each as text; lists as text with commas. */
  std::map<std::string, std::string> TextMap(const std::string& aKey);

  /** All keys that were not asked for yet, each as text. */
  std::map<std::string, std::string> RemainingTexts();

  /** The first failure so far; keys that nobody asked for are none. */
  [[nodiscard]] const std::optional<failure<json_error>>& FirstFailure() const
  {
    return mFailure;
  }
  /** The first failure, with unknown keys last. */
  std::optional<failure<json_error>> Finish();
};

/** A scalar, or a list of scalars, as text; nothing for other values. */
std::optional<std::string>
ScalarText(const boost::json::value& aValue);

}

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
 * the key. `Finish` also fails on keys that were not read.
 */
class json_reader
{
  boost::json::object mObject;
  std::set<std::string> mReadKeys;
  std::optional<failure<json_error>> mFailure;

  explicit json_reader(boost::json::object aObject)
    : mObject(std::move(aObject))
  {
  }

  const boost::json::value* Find(const std::string& aKey, bool aIsRequired);
  void FailAt(json_error aCode,
              const std::string& aKey,
              const std::string& aDetail);
  /** Passes each item of a list to `aAccept` until it rejects one. */
  void ForEachItem(const std::string& aKey,
                   const std::string& aItemKind,
                   const std::function<bool(boost::json::value&)>& aAccept);
  void ReadObject(const std::string& aKey,
                  boost::json::value& aValue,
                  const std::function<void(json_reader&)>& aRead);
  void AddText(const std::string& aKey,
               const boost::json::value& aValue,
               std::map<std::string, std::string>& aTexts);

public:
  /** Default for the maximum nesting depth of the JSON text. */
  static constexpr std::size_t kMaxDepth = 8;

  /** Errors: `Malformed` when the text is not one JSON object. */
  static result<json_reader, json_error> Create(
    const std::string& aText,
    std::size_t aMaxDepth = kMaxDepth);

  /** True if the key is present, even if its value is null. */
  [[nodiscard]] bool Contains(const std::string& aKey) const
  {
    return mObject.contains(aKey);
  }
  /** True if the key is present and not null. */
  [[nodiscard]] bool HasValue(const std::string& aKey) const;

  std::string Text(const std::string& aKey, bool aIsRequired = true);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aMax,
                       bool aIsRequired = true);
  std::vector<std::uint64_t> Numbers(const std::string& aKey);
  /** A number from 0 to a maximum, with or without a fraction. */
  double Decimal(const std::string& aKey, double aMax);
  /** A boolean; false if the key is absent. */
  bool Flag(const std::string& aKey);
  std::vector<std::string> Strings(const std::string& aKey);
  /** Runs `aRead` on each object of a list and keeps the first failure. */
  void ForEachObject(const std::string& aKey,
                     const std::function<void(json_reader&)>& aRead);
  /** Runs `aRead` on the object under a key and keeps its failure. */
  void WithObject(const std::string& aKey,
                  const std::function<void(json_reader&)>& aRead);
  /** An optional object whose values are converted as by `ScalarText`. */
  std::map<std::string, std::string> TextMap(const std::string& aKey);

  /** All values that have not been read yet, converted as by `ScalarText`. */
  std::map<std::string, std::string> RemainingTexts();

  /** The first failure so far, without a check for unknown keys. */
  [[nodiscard]] const std::optional<failure<json_error>>& FirstFailure() const
  {
    return mFailure;
  }
  /** The first failure, after a check for unknown keys. */
  std::optional<failure<json_error>> Finish();
};

/**
 * Converts a scalar, or a list of strings that are joined by commas, to text;
 * other values give no result.
 */
std::optional<std::string>
ScalarText(const boost::json::value& aValue);

}

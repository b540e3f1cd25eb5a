#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hibiscusspool {

template<typename value>
struct name_row
{
  value mValue;
  std::string_view mName;
};

/**
 * The table of names of an `enum class` whose values count up from zero. Each
 * enum specialises `kNames` with one such table, which is used for both
 * printing and parsing.
 */
template<typename value, std::size_t rows>
using name_table = std::array<name_row<value>, rows>;

template<typename value>
inline constexpr name_table<value, 0> kNames{};

/** True if an enumerator with this value exists. */
template<auto enumerator>
constexpr bool
IsEnumerator()
{
  // The compiler prints a named enumerator by its name and any other value
  // as a cast, so a digit or a parenthesis follows the equals sign.
  std::string_view text = __PRETTY_FUNCTION__;
  std::size_t start = text.find("enumerator = ") + 13;
  return text[start] != '(';
}

/** True if the table has a row for each enumerator, in order. */
template<typename value>
constexpr bool
IsComplete()
{
  constexpr auto kRows = kNames<value>.size();
  for (std::size_t row = 0; row < kRows; ++row) {
    if (static_cast<std::size_t>(kNames<value>[row].mValue) != row) {
      return false;
    }
  }
  return !IsEnumerator<static_cast<value>(kRows)>();
}

/** The name of a value; a table with a missing row does not compile. */
template<typename value>
constexpr std::string_view
NameOf(value aValue)
{
  static_assert(IsComplete<value>(), "The table of names lacks a row.");
  return kNames<value>[static_cast<std::size_t>(aValue)].mName;
}

/** The value with this name, or nothing. */
template<typename value>
constexpr std::optional<value>
ValueOf(std::string_view aName)
{
  static_assert(IsComplete<value>(), "The table of names lacks a row.");
  for (const auto& row : kNames<value>) {
    if (row.mName == aName) {
      return row.mValue;
    }
  }
  return std::nullopt;
}

}

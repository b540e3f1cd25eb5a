#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Rows of text in columns that are as wide as they need to be. */
class table
{
  std::vector<std::vector<std::string>> mRows;

public:
  explicit table(std::vector<std::string> aHead) { Add(std::move(aHead)); }

  void Add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }
  [[nodiscard]] std::string Text() const;
};

/** A number with so many digits after the point. */
std::string
NumberText(double aNumber, int aDigits);

}

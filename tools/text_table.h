#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** Rows of text, printed in columns that fit their widest cell. */
class text_table
{
  std::vector<std::vector<std::string>> mRows;

public:
  explicit text_table(std::vector<std::string> aHeader)
  {
    Add(std::move(aHeader));
  }

  void Add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }
  [[nodiscard]] std::string Text() const;
};

/** Formats a number in fixed-point notation. */
std::string
FormatNumber(double aNumber, int aDecimals);

}

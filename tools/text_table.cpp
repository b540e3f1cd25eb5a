#include "tools/text_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hibiscusspool {

std::string
text_table::Text() const
{
  std::vector<std::size_t> widths;
  for (const auto& row : mRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::ostringstream text;
  for (const auto& row : mRows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      bool isLast = column + 1 == row.size();
      if (isLast) {
        text << row[column];
      } else {
        text << std::left << std::setw(static_cast<int>(widths[column]) + 2)
             << row[column];
      }
    }
    text << '\n';
  }
  return text.str();
}

std::string
FormatNumber(double aNumber, int aDecimals)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDecimals) << aNumber;
  return text.str();
}

}

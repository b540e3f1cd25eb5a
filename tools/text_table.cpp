#include "tools/text_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hibiscusspool {

std::string
table::Text() const
{
  std::vector<std::size_t> widths;
  for (const auto& row : mRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t place = 0; place < row.size(); ++place) {
      widths[place] = std::max(widths[place], row[place].size());
    }
  }
  std::ostringstream text;
  for (const auto& row : mRows) {
    for (std::size_t place = 0; place < row.size(); ++place) {
      bool isLast = place + 1 == row.size();
      if (isLast) {
        text << row[place];
      } else {
        text << std::left << std::setw(static_cast<int>(widths[place]) + 2)
             << row[place];
      }
    }
    text << '\n';
  }
  return text.str();
}

std::string
NumberText(double aNumber, int aDigits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDigits) << aNumber;
  return text.str();
}

}

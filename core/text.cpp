#include "core/text.h"

#include <algorithm>
#include <cctype>

namespace hibiscusspool {

namespace {

char
ToLowerCharacter(unsigned char aCharacter)
{
  return static_cast<char>(std::tolower(aCharacter));
}

}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), ToLowerCharacter);
  return lower;
}

bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    aOther.end(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return ToLowerCharacter(aLeft) ==
                             ToLowerCharacter(aRight);
                    });
}

}

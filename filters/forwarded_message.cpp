#include "filters/forwarded_message.h"

#include <algorithm>
#include <cctype>

namespace hibiscusspool {

bool
IsSameField(std::string_view aOne, std::string_view aOther)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    aOther.end(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return std::tolower(aLeft) == std::tolower(aRight);
                    });
}

std::string_view
server_reply::Field(std::string_view aName) const
{
  for (const header_field& field : mFields) {
    if (IsSameField(field.mName, aName)) {
      return field.mValue;
    }
  }
  return {};
}

}

#include "filters/forwarded_message.h"

#include "core/text.h"

#include <algorithm>

namespace hibiscusspool {

const header_field*
FindField(const std::vector<header_field>& aFields, std::string_view aName)
{
  auto found = std::find_if(
    aFields.begin(), aFields.end(), [&](const header_field& aField) {
      return EqualsIgnoreCase(aField.mName, aName);
    });
  return found == aFields.end() ? nullptr : &*found;
}

std::string_view
server_response::Field(std::string_view aName) const
{
  const header_field* found = FindField(mFields, aName);
  return found == nullptr ? std::string_view() : found->mValue;
}

}

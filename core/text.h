#pragma once

#include <string>
#include <string_view>

namespace hibiscusspool {

/** The text with its ASCII letters in lower case. */
std::string
ToLower(std::string_view aText);

/** True when two texts are the same but for the case of ASCII letters. */
bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther);

}

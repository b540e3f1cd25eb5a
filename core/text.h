#pragma once

#include <string>
#include <string_view>

namespace hibiscusspool {

/** Converts ASCII letters to lower case. */
std::string
ToLower(std::string_view aText);

/** True if two texts differ at most in the case of ASCII letters. */
bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther);

}

#pragma once

#include <cstddef>
#include <string>

namespace hibiscusspool {

/** Random hexadecimal digits, eight for each word. */
std::string
RandomHex(std::size_t aWords);

}

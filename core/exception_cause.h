#pragma once

#include <exception>
#include <string>

namespace hibiscusspool {

/** What an exception says of itself, for the log. */
std::string
CauseOf(const std::exception_ptr& aException);

}

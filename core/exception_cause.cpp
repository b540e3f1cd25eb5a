#include "core/exception_cause.h"

namespace hibiscusspool {

std::string
CauseOf(const std::exception_ptr& aException)
{
  if (aException == nullptr) {
    return "no exception";
  }
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& problem) {
    return problem.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

}

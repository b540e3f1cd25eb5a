#include "core/random_id.h"

#include <iomanip>
#include <random>
#include <sstream>

namespace hibiscusspool {

std::string
RandomHex(std::size_t aWords)
{
  std::random_device device;
  std::ostringstream text;
  for (std::size_t word = 0; word < aWords; ++word) {
    text << std::hex << std::setw(8) << std::setfill('0') << device();
  }
  return text.str();
}

}

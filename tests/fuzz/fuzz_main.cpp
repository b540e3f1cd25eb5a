#include "tests/fuzz/fuzz_input.h"

#include <cstddef>
#include <cstdint>

/** libFuzzer's entry point; its name is given. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  fuzz::TestOneInput(std::string(reinterpret_cast<const char*>(aData), aSize));
  return 0;
}

#include "core/last_words.h"

#include <algorithm>

#include <execinfo.h>
#include <unistd.h>

// Set by the linker: the bounds of the program in memory.
extern "C" const char
  __executable_start;       // NOLINT(bugprone-reserved-identifier)
extern "C" const char _end; // NOLINT(bugprone-reserved-identifier)

namespace hibiscusspool {

namespace {

constexpr int kMaxFrames = 24;

}

void
last_words::Append(char aCharacter)
{
  // Leaves room for the line feed.
  if (mSize + 1 < mText.size()) {
    mText[mSize++] = aCharacter;
  }
}

last_words&
last_words::Add(std::string_view aText)
{
  for (char character : aText) {
    Append(character);
  }
  return *this;
}

last_words&
last_words::AddNumber(std::uint64_t aNumber, unsigned aBase)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kMaxDigits = 64;
  std::array<char, kMaxDigits> digits{};
  std::size_t count = 0;
  do {
    digits[count++] = kDigits[aNumber % aBase];
    aNumber /= aBase;
  } while (aNumber != 0 && count < digits.size());
  while (count > 0) {
    Append(digits[--count]);
  }
  return *this;
}

last_words&
last_words::AddQuoted(std::string_view aText)
{
  Append('"');
  for (char character : aText) {
    bool isPlain = character >= ' ' && character != '"' && character != '\\';
    Append(isPlain ? character : '_');
  }
  Append('"');
  return *this;
}

last_words&
last_words::AddBacktrace()
{
  std::array<void*, kMaxFrames> frames{};
  int count = backtrace(frames.data(), kMaxFrames);
  auto first = reinterpret_cast<std::uintptr_t>(&__executable_start);
  auto last = reinterpret_cast<std::uintptr_t>(&_end);
  for (int number = 0; number < count; ++number) {
    auto address = reinterpret_cast<std::uintptr_t>(
      frames[static_cast<std::size_t>(number)]);
    bool isInProgram = address >= first && address < last;
    Add(number == 0 ? "" : ",").Add(isInProgram ? "+0x" : "0x");
    AddNumber(isInProgram ? address - first : address, 16);
  }
  return *this;
}

void
last_words::WriteTo(int aFile) const
{
  std::array<char, kMaxBytes> line = mText;
  line[mSize] = '\n';
  // There is nobody left to report a failed write to.
  static_cast<void>(!write(aFile, line.data(), mSize + 1));
}

}

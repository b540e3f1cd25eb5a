#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hibiscusspool {

/**
 * A line of the log that is made in a signal handler: it allocates nothing and
 * takes no lock. What doesn't fit is left out.
 */
class last_words
{
  static constexpr std::size_t kMaxBytes = 2048;

  std::array<char, kMaxBytes> mText{};
  std::size_t mSize = 0;

  void Append(char aCharacter);

public:
  last_words& Add(std::string_view aText);
  last_words& AddNumber(std::uint64_t aNumber, unsigned aBase = 10);
  /** Adds the text in quotes; characters that would need an escape become
   * underscores. */
  last_words& AddQuoted(std::string_view aText);
  /** The functions that are being executed, innermost first: offsets in this
   * program as `+0x…`, other addresses as `0x…`. */
  last_words& AddBacktrace();

  /** Writes the line and a line feed to an open file. */
  void WriteTo(int aFile) const;
};

}

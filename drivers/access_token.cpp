#include "drivers/access_token.h"

#include "core/log_event.h"
#include "drivers/synced_file.h"

namespace hibiscusspool {

namespace {

constexpr std::size_t kMinTokenLength = 16;

/** The token in a file, without white space at its end. */
result<std::string, token_error>
ReadToken(const std::string& aPath)
{
  auto text = ReadWholeFile(aPath);
  if (!text) {
    return Fail(token_error::CannotRead, text.error().mDetail);
  }
  std::string token = text.value();
  while (!token.empty() &&
         std::isspace(static_cast<unsigned char>(token.back()))) {
    token.pop_back();
  }
  if (token.size() < kMinTokenLength) {
    return Fail(token_error::TooShort,
                aPath + " contains a token shorter than " +
                  std::to_string(kMinTokenLength) + " characters.");
  }
  return token;
}

}

result<access_token, token_error>
access_token::Create(const std::string& aPath)
{
  if (!aPath.empty()) {
    auto token = ReadToken(aPath);
    if (!token) {
      return token.error();
    }
  }
  return access_token(aPath);
}

bool
access_token::Authorizes(const std::string& aHeader) const
{
  if (mPath.empty()) {
    return true;
  }
  auto token = ReadToken(mPath);
  if (!token) {
    log_event("token_unreadable", log_event::severity::Error)
      .Add("reason", NameOf(token.error().mCode))
      .Add("cause", token.error().mDetail);
    return false;
  }
  std::string expected = "Bearer " + token.value();
  // Compares every character, so that the time taken reveals nothing about
  // the token.
  volatile unsigned char difference = aHeader.size() == expected.size() ? 0 : 1;
  for (std::size_t offset = 0; offset < expected.size(); ++offset) {
    char given = offset < aHeader.size() ? aHeader[offset] : '\0';
    difference = static_cast<unsigned char>(
      difference | static_cast<unsigned char>(given ^ expected[offset]));
  }
  return difference == 0;
}

}

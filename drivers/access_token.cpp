#include "drivers/access_token.h"

#include "drivers/synced_file.h"

namespace hibiscusspool {

namespace {

constexpr std::size_t kShortestToken = 16;

}

result<access_token, token_error>
access_token::Create(const std::string& aPath)
{
  if (aPath.empty()) {
    return access_token("");
  }
  auto text = ReadWholeFile(aPath);
  if (!text) {
    return Fail(token_error::CannotRead, text.error().mDetail);
  }
  std::string token = text.value();
  while (!token.empty() &&
         std::isspace(static_cast<unsigned char>(token.back()))) {
    token.pop_back();
  }
  if (token.size() < kShortestToken) {
    return Fail(token_error::TooShort,
                aPath + " holds a token of fewer than " +
                  std::to_string(kShortestToken) + " letters.");
  }
  return access_token(std::move(token));
}

bool
access_token::Authorizes(const std::string& aHeader) const
{
  if (mToken.empty()) {
    return true;
  }
  std::string expected = "Bearer " + mToken;
  // Every letter is compared, so that the time tells nothing of the token.
  volatile unsigned char difference = aHeader.size() == expected.size() ? 0 : 1;
  for (std::size_t place = 0; place < expected.size(); ++place) {
    char given = place < aHeader.size() ? aHeader[place] : '\0';
    difference = static_cast<unsigned char>(
      difference | static_cast<unsigned char>(given ^ expected[place]));
  }
  return difference == 0;
}

}

#pragma once

#include "core/failure.h"
#include "core/name_table.h"

#include <string>

namespace hibiscusspool {

enum class token_error
{
  CannotRead,
  TooShort,
};

template<>
inline constexpr name_table<token_error, 2> kNames<token_error>{ {
  { token_error::CannotRead, "cannot_read" },
  { token_error::TooShort, "too_short" },
} };

/** A bearer token from a file; without one, everybody is let in. */
class access_token
{
  std::string mToken;

  explicit access_token(std::string aToken)
    : mToken(std::move(aToken))
  {
  }

public:
  /** An empty path makes a token that lets everybody in. */
  static result<access_token, token_error> Create(const std::string& aPath);

  /** Compares a header `Authorization: Bearer …` in constant time. */
  [[nodiscard]] bool Authorizes(const std::string& aHeader) const;
};

}

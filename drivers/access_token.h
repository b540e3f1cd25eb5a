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

/**
 * A bearer token in a file; without one, every request is authorized. The file
 * is read for each request, so that a token that was replaced or withdrawn is
 * no longer accepted.
 */
class access_token
{
  std::string mPath;

  explicit access_token(std::string aPath)
    : mPath(std::move(aPath))
  {
  }

public:
  /** An empty path creates a token that authorizes every request. */
  static result<access_token, token_error> Create(const std::string& aPath);

  /** Compares an `Authorization: Bearer …` header in constant time. Nothing is
   * authorized while the file can't be read. */
  [[nodiscard]] bool Authorizes(const std::string& aHeader) const;
};

}

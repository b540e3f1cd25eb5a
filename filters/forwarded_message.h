#pragma once

#include <memory>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One header field as received; its name is case-insensitive. */
struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const header_field&) const = default;
};

/** The first field with this name, or null. */
const header_field*
FindField(const std::vector<header_field>& aFields, std::string_view aName);

/** A proxied request, without its body. */
struct forwarded_request
{
  std::string mMethod;
  /** Path and query as sent by the caller. */
  std::string mTarget;
  /** End-to-end header fields. */
  std::vector<header_field> mFields;
};

/** A server's complete response. */
struct server_response
{
  unsigned mStatus = 0;
  std::vector<header_field> mFields;
  std::string mBody;
  /** Counts the body among those that this host holds; null for a small one. */
  std::shared_ptr<const void> mHeldBody{};

  /** The value of a header field; empty if there is none. */
  [[nodiscard]] std::string_view Field(std::string_view aName) const;
};

}

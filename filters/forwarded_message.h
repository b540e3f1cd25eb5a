#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** One header field, as it was received; its name's case is free. */
struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const header_field&) const = default;
};

/** The first field of this name, or null. */
const header_field*
FindField(const std::vector<header_field>& aFields, std::string_view aName);

/** A proxied request, without its body. */
struct forwarded_request
{
  std::string mMethod;
  /** Path and query, as the caller sent them. */
  std::string mTarget;
  /** The end-to-end fields. */
  std::vector<header_field> mFields;
};

/** A server's whole answer. */
struct server_response
{
  unsigned mStatus = 0;
  std::vector<header_field> mFields;
  std::string mBody;

  /** The value of a field; empty if there is none. */
  [[nodiscard]] std::string_view Field(std::string_view aName) const;
};

}

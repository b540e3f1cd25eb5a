#pragma once

#include <string>
#include <vector>

namespace hibiscusspool {

/** One header field, as it was received. */
struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const header_field&) const = default;
};

/** A request that is passed on to a server as it is, without its body. */
struct forwarded_request
{
  std::string mMethod;
  /** Path and query, as the caller sent them. */
  std::string mTarget;
  /** The fields that are not of one connection only. */
  std::vector<header_field> mFields;
};

/** A server's whole answer. */
struct server_reply
{
  unsigned mStatus = 0;
  std::vector<header_field> mFields;
  std::string mBody;

  /** The value of a field by its lower-case name; empty if there is none. */
  [[nodiscard]] std::string_view Field(std::string_view aName) const;
};

/** True when two field names are the same but for their case. */
bool
IsSameField(std::string_view aOne, std::string_view aOther);

}

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace hibiscusspool {

/** A string id whose type differs for each kind of id. */
template<typename tag>
struct strong_id
{
  std::string mValue;

  auto operator<=>(const strong_id&) const = default;
  [[nodiscard]] bool IsEmpty() const { return mValue.empty(); }
};

using host_id = strong_id<struct host_tag>;
using disk_id = strong_id<struct disk_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using server_id = strong_id<struct server_tag>;
using service_id = strong_id<struct service_tag>;
using team_id = strong_id<struct team_tag>;
using template_id = strong_id<struct template_tag>;
using request_id = strong_id<struct request_tag>;
using idempotency_key = strong_id<struct idempotency_key_tag>;
using change_id = strong_id<struct change_tag>;
using fingerprint_id = strong_id<struct fingerprint_tag>;

/**
 * Identifies one start of a process. Backend servers increment it at each
 * start; hosts draw it at random.
 */
using incarnation_number = std::uint64_t;
/** Position in the replicated log; the first entry has index 1. */
using log_index = std::uint64_t;
/** A version of the search index; higher is newer. */
using snapshot_number = std::uint64_t;
/** Number of a connection to a backend server, unique within this process. */
using connection_id = std::uint64_t;

}

template<typename tag>
struct std::hash<hibiscusspool::strong_id<tag>>
{
  std::size_t operator()(
    const hibiscusspool::strong_id<tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.mValue);
  }
};

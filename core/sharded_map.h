#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace hibiscusspool {

/**
 * A map cut into shards, each under its own lock. A caller gets copies, or
 * runs a short function under one shard's lock; that function must not call
 * back into the map, do I/O or run a hook.
 */
template<typename key, typename value, std::size_t shards = 16>
class sharded_map
{
  struct shard
  {
    mutable std::mutex mLock;
    std::unordered_map<key, value> mEntries;
  };

  std::array<shard, shards> mShards;

  const shard& ShardOf(const key& aKey) const
  {
    return mShards[std::hash<key>{}(aKey) % shards];
  }
  shard& ShardOf(const key& aKey)
  {
    return mShards[std::hash<key>{}(aKey) % shards];
  }

public:
  /** A copy of the value, or nothing. */
  std::optional<value> Get(const key& aKey) const
  {
    const shard& place = ShardOf(aKey);
    std::lock_guard guard(place.mLock);
    auto found = place.mEntries.find(aKey);
    if (found == place.mEntries.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  void Set(const key& aKey, value aValue)
  {
    shard& place = ShardOf(aKey);
    std::lock_guard guard(place.mLock);
    place.mEntries.insert_or_assign(aKey, std::move(aValue));
  }

  /** Removes the value and hands it over, or nothing. */
  std::optional<value> Take(const key& aKey)
  {
    shard& place = ShardOf(aKey);
    std::lock_guard guard(place.mLock);
    auto node = place.mEntries.extract(aKey);
    if (node.empty()) {
      return std::nullopt;
    }
    return std::move(node.mapped());
  }

  /** Runs `aBody(value&)` under the lock on a new or present value. */
  template<typename body>
  auto Update(const key& aKey, body&& aBody)
  {
    shard& place = ShardOf(aKey);
    std::lock_guard guard(place.mLock);
    return std::forward<body>(aBody)(place.mEntries[aKey]);
  }

  /** Runs `aBody(value&)` under the lock if there is a value. */
  template<typename body>
  bool UpdateIfPresent(const key& aKey, body&& aBody)
  {
    shard& place = ShardOf(aKey);
    std::lock_guard guard(place.mLock);
    auto found = place.mEntries.find(aKey);
    if (found == place.mEntries.end()) {
      return false;
    }
    std::forward<body>(aBody)(found->second);
    return true;
  }

  /** Runs `aBody(key, value&)` for each value, one shard lock at a time. */
  template<typename body>
  void ForEach(body&& aBody)
  {
    for (shard& place : mShards) {
      std::lock_guard guard(place.mLock);
      for (auto& [name, item] : place.mEntries) {
        aBody(name, item);
      }
    }
  }

  template<typename body>
  void ForEach(body&& aBody) const
  {
    for (const shard& place : mShards) {
      std::lock_guard guard(place.mLock);
      for (const auto& [name, item] : place.mEntries) {
        aBody(name, item);
      }
    }
  }

  /** Removes each value for which `aTest(key, value&)` is true. */
  template<typename test>
  void EraseIf(test&& aTest)
  {
    for (shard& place : mShards) {
      std::lock_guard guard(place.mLock);
      std::erase_if(place.mEntries, [&](auto& aEntry) {
        return aTest(aEntry.first, aEntry.second);
      });
    }
  }

  [[nodiscard]] std::size_t Count() const
  {
    std::size_t count = 0;
    for (const shard& place : mShards) {
      std::lock_guard guard(place.mLock);
      count += place.mEntries.size();
    }
    return count;
  }
};

}

#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace hibiscusspool {

/**
 * A map divided into shards, each under its own lock. Callers get copies or run
 * a short function under one shard's lock; that function must not call back
 * into the map, do I/O or run a hook.
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
    const shard& target = ShardOf(aKey);
    std::lock_guard guard(target.mLock);
    auto found = target.mEntries.find(aKey);
    if (found == target.mEntries.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  void Set(const key& aKey, value aValue)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard guard(target.mLock);
    target.mEntries.insert_or_assign(aKey, std::move(aValue));
  }

  /** Removes and returns the value, or nothing. */
  std::optional<value> Take(const key& aKey)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard guard(target.mLock);
    auto node = target.mEntries.extract(aKey);
    if (node.empty()) {
      return std::nullopt;
    }
    return std::move(node.mapped());
  }

  /** Runs `aBody(value&)` under the lock, on a new value if there is none. */
  template<typename body>
  auto Update(const key& aKey, body&& aBody)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard guard(target.mLock);
    return std::forward<body>(aBody)(target.mEntries[aKey]);
  }

  /** Runs `aBody(value&)` under the lock if there is a value. */
  template<typename body>
  bool UpdateIfPresent(const key& aKey, body&& aBody)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard guard(target.mLock);
    auto found = target.mEntries.find(aKey);
    if (found == target.mEntries.end()) {
      return false;
    }
    std::forward<body>(aBody)(found->second);
    return true;
  }

  /** Runs `aBody(key, value&)` for each value; locks one shard at a time. */
  template<typename body>
  void ForEach(body&& aBody)
  {
    for (shard& target : mShards) {
      std::lock_guard guard(target.mLock);
      for (auto& [entryKey, entryValue] : target.mEntries) {
        aBody(entryKey, entryValue);
      }
    }
  }

  template<typename body>
  void ForEach(body&& aBody) const
  {
    for (const shard& target : mShards) {
      std::lock_guard guard(target.mLock);
      for (const auto& [entryKey, entryValue] : target.mEntries) {
        aBody(entryKey, entryValue);
      }
    }
  }

  /** Removes each value for which `aPredicate(key, value&)` is true. */
  template<typename predicate>
  void EraseIf(predicate&& aPredicate)
  {
    for (shard& target : mShards) {
      std::lock_guard guard(target.mLock);
      std::erase_if(target.mEntries, [&](auto& aEntry) {
        return aPredicate(aEntry.first, aEntry.second);
      });
    }
  }

  [[nodiscard]] std::size_t Count() const
  {
    std::size_t count = 0;
    for (const shard& target : mShards) {
      std::lock_guard guard(target.mLock);
      count += target.mEntries.size();
    }
    return count;
  }
};

}

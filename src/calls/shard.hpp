// Which shard of a pool a call belongs to.
#pragma once

#include <cstdint>
#include <string_view>

namespace topazweir::calls {

// FNV-1a, 64 bits (Fowler, Noll, Vo): the same on every broker and in every release, since it says where data
// lies.
constexpr std::uint64_t hashKey(std::string_view key) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

constexpr int shardOf(std::string_view key, int shards) {
  return static_cast<int>(hashKey(key) % static_cast<std::uint64_t>(shards));
}

}  // namespace topazweir::calls

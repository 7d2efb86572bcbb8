// Maps the key of a call to a shard of its pool.
#pragma once

#include <cstdint>
#include <string_view>

namespace topazweir::calls {

// FNV-1a, 64 bits (Fowler, Noll, Vo). It must stay the same on every broker and in every release, because it
// determines which shard holds the data.
constexpr std::uint64_t hashKey(std::string_view key) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

// `shards` is greater than 0.
constexpr int shardOf(std::string_view key, int shards) {
  return static_cast<int>(hashKey(key) % static_cast<std::uint64_t>(shards));
}

}  // namespace topazweir::calls

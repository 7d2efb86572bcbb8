// What the broker counts. One value type, read by every way of showing it.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace topazweir::broker {

struct TenantCounters {
  std::string name;
  std::uint64_t taken = 0, answered = 0, refused = 0, failed = 0, overQuota = 0, furtherAttempts = 0;
};

struct Counters {
  std::uint64_t taken = 0, turnedAway = 0, invalid = 0;
  std::uint64_t answered = 0, answeredPartial = 0, refused = 0, failed = 0, abandoned = 0;
  std::uint64_t sent = 0, furtherAttempts = 0, unsent = 0;
  std::uint64_t streamed = 0;           // of the taken: answers that began before they were whole
  std::array<std::uint64_t, 8> ends{};  // of attempts, by topazweir::Outcome
  std::vector<TenantCounters> tenants;
};

inline constexpr std::array<const char*, 8> kOutcomeNames = {
    "delivered", "error", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"};

// What the other has counted comes on top; tenants are matched by their place.
Counters& operator+=(Counters& to, const Counters& from);

// One "name value" a line.
std::string print(const Counters& counters, const std::string& prefix = {});

}  // namespace topazweir::broker

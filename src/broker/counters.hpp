// Counters of the broker, shared by every way of exporting them.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace topazweir::broker {

// Counters of one tenant.
struct TenantCounters {
  std::string name;
  std::uint64_t taken = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t overQuota = 0;
  std::uint64_t furtherAttempts = 0;  // attempts beyond a part's first: retries and hedges
};

// Counters of one core.
struct Counters {
  std::uint64_t taken = 0;
  std::uint64_t turnedAway = 0;  // shed by admission control; also counted as refused
  std::uint64_t invalid = 0;     // rejected by validation; not counted as taken
  std::uint64_t answered = 0;
  std::uint64_t answeredPartial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;  // the client disconnected before the final answer
  std::uint64_t sent = 0;
  std::uint64_t furtherAttempts = 0;    // attempts beyond a part's first: retries and hedges
  std::uint64_t unsent = 0;             // attempts ordered by the module but not made
  std::uint64_t streamed = 0;           // taken requests whose answer began before it was complete
  std::array<std::uint64_t, 8> ends{};  // ended attempts, indexed by topazweir::Outcome
  std::vector<TenantCounters> tenants;
};

// Exported names, indexed by topazweir::Outcome.
inline constexpr std::array<const char*, 8> kOutcomeNames = {
    "delivered", "error", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"};

// Adds counter by counter; tenants are matched by index.
Counters& operator+=(Counters& to, const Counters& from);

// One "name value" pair per line, each name preceded by `prefix`.
std::string print(const Counters& counters, const std::string& prefix = {});

}  // namespace topazweir::broker

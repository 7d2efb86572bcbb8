// The ids of ended requests that may have run, so that none of them is run again: every request of a client
// has an id of its own, its retries included.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

// Remembers each id for kKeptNs, and no more than kMaxIds: then the oldest is forgotten first.
class FinishedIds {
 public:
  static constexpr Nanos kKeptNs = 60'000'000'000;
  static constexpr std::size_t kMaxIds = 16 * 1024;

  void add(const std::string& id, Nanos now) {
    forgetOld(now);
    const auto key = std::hash<std::string>{}(id);
    if (!known_.insert(key).second) return;
    oldest_.emplace_back(now, key);
    if (oldest_.size() > kMaxIds) forgetOldest();
  }
  bool has(const std::string& id, Nanos now) {
    forgetOld(now);
    return known_.count(std::hash<std::string>{}(id)) > 0;
  }
  std::size_t size() const { return oldest_.size(); }

 private:
  void forgetOld(Nanos now) {
    while (!oldest_.empty() && now - oldest_.front().first >= kKeptNs) forgetOldest();
  }
  void forgetOldest() {
    known_.erase(oldest_.front().second);
    oldest_.pop_front();
  }

  std::unordered_set<std::size_t> known_;  // hashes of the ids
  std::deque<std::pair<Nanos, std::size_t>> oldest_;
};

}  // namespace topazweir::broker

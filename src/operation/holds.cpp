#include "operation/holds.hpp"

#include <algorithm>

namespace topazweir::operation {

bool Holds::set(std::string_view instance, bool out, Nanos now) {
  if (!known(instance) && all_.size() >= kMost) {
    forget(now);
    if (all_.size() >= kMost) return !out;
  }
  Hold& hold = all_.try_emplace(std::string(instance)).first->second;
  // Recorded even if the state does not change: another process may know a different sequence of commands.
  auto& commandAt = out ? hold.outAt : hold.backAt;
  commandAt = std::max({now, hold.outAt + 1, hold.backAt + 1});
  return true;
}

std::vector<std::string> Holds::merge(const ByInstance& theirs) {
  std::vector<std::string> changed;
  for (const auto& [instance, their] : theirs) {
    if (!known(instance) && all_.size() >= kMost) continue;
    Hold& own = all_.try_emplace(instance).first->second;
    const bool was = own.out();
    own.outAt = std::max(own.outAt, their.outAt);
    own.backAt = std::max(own.backAt, their.backAt);
    if (own.out() != was) changed.push_back(instance);
  }
  return changed;
}

void Holds::forget(Nanos now) {
  std::erase_if(all_, [&](const auto& entry) {
    return !entry.second.out() && now - entry.second.backAt > kRetentionNs;
  });
}

bool Holds::out(std::string_view instance) const {
  const auto at = all_.find(instance);
  return at != all_.end() && at->second.out();
}

std::size_t Holds::countOut() const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(), [](const auto& entry) { return entry.second.out(); }));
}

Nanos Holds::startedAt(std::string_view instance, Nanos told) const {
  const auto at = all_.find(instance);
  if (at == all_.end()) return told;
  const Hold& hold = at->second;
  const bool wasOut = hold.outAt > 0 && !hold.out();
  return wasOut && told < hold.outAt ? hold.backAt : told;
}

}  // namespace topazweir::operation

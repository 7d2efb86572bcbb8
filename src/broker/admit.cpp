#include "broker/admit.hpp"

#include <algorithm>

namespace topazweir::broker {

namespace {
constexpr Nanos kSecond = 1'000'000'000;
}

// Guards the memory limit: what is held is bounded by the configured figure, queries and parts alike.
std::optional<Nanos> Admit::refusal() const {
  if (terms_.maxOpen == 0 || open_.held() <= terms_.maxOpen) return std::nullopt;
  return std::min(kComeBack, terms_.settings.maxRetryAfter);
}

bool Admit::beyondQuota(const Request& request, Nanos now) {
  if (recent_.empty()) return false;
  auto& recent = recent_[static_cast<std::size_t>(request.tenant)];
  while (!recent.empty() && recent.front() <= now - kSecond) recent.pop_front();
  recent.push_back(now);
  const double quota = terms_.contracts[static_cast<std::size_t>(request.tenant)].quotaPerS;
  // The quota is for all aggregators together; the front spreads clients evenly over them.
  return quota > 0 && static_cast<double>(recent.size()) * terms_.settings.aggregators > quota;
}

std::size_t Admit::rate(std::size_t tenant, Nanos now) const {
  if (tenant >= recent_.size()) return 0;
  return static_cast<std::size_t>(std::count_if(recent_[tenant].begin(), recent_[tenant].end(),
                                                [&](Nanos at) { return at > now - kSecond; }));
}

}  // namespace topazweir::broker

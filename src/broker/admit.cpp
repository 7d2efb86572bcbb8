#include "broker/admit.hpp"

#include <algorithm>

namespace topazweir::broker {

namespace {
constexpr Nanos kQuotaWindowNs = 1'000'000'000;  // quotas are per second
}

// Enforces the memory limits: maxOpen bounds the queries and parts held at once, the budget all bytes
// buffered.
std::optional<Nanos> AdmissionControl::refusal() const {
  const bool tooMany = terms_.maxOpen > 0 && open_.held() > terms_.maxOpen;
  const bool buffersFull = buffers_ != nullptr && buffers_->full();
  if (!tooMany && !buffersFull) return std::nullopt;
  return std::min(kRetryAfterNs, terms_.settings.maxRetryAfter);
}

bool AdmissionControl::beyondQuota(const Request& request, Nanos now) {
  if (recentByTenant_.empty()) return false;
  auto& recent = recentByTenant_[static_cast<std::size_t>(request.tenant)];
  while (!recent.empty() && recent.front() <= now - kQuotaWindowNs) recent.pop_front();
  recent.push_back(now);
  const double quota = terms_.contracts[static_cast<std::size_t>(request.tenant)].quotaPerS;
  // The quota covers all aggregators together; clients are spread evenly over them, so this one's rate is
  // multiplied by their number.
  return quota > 0 && static_cast<double>(recent.size()) * terms_.settings.aggregators > quota;
}

std::size_t AdmissionControl::rate(std::size_t tenant, Nanos now) const {
  if (tenant >= recentByTenant_.size()) return 0;
  return static_cast<std::size_t>(std::count_if(recentByTenant_[tenant].begin(),
                                                recentByTenant_[tenant].end(),
                                                [&](Nanos at) { return at > now - kQuotaWindowNs; }));
}

}  // namespace topazweir::broker

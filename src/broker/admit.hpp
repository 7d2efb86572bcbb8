// Stage 2, admission control: sheds a request when the memory limit is reached, and checks it against its
// tenant's quota.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "broker/contract.hpp"
#include "broker/open_requests.hpp"

namespace topazweir::broker {

class AdmissionControl {
 public:
  AdmissionControl(const Terms& terms, const OpenRequests& open, const memory::Budget* buffers)
      : terms_(terms), open_(open), buffers_(buffers), recentByTenant_(terms.contracts.size()) {}
  // The retry-after advice in nanoseconds if the newest request exceeds the limit on held queries and parts,
  // or the buffers are full; nullopt if it is admitted.
  std::optional<Nanos> refusal() const;
  // Records the request in its tenant's one-second window and returns whether it exceeds the quota.
  bool beyondQuota(const Request& request, Nanos now);
  // The number of the tenant's requests within the last second; 0 for an unknown tenant.
  std::size_t rate(std::size_t tenant, Nanos now) const;

  // Retry-after advice for a shed request, capped by Settings::maxRetryAfter.
  static constexpr Nanos kRetryAfterNs = 500'000'000;

 private:
  const Terms& terms_;
  const OpenRequests& open_;
  const memory::Budget* buffers_;                  // null: unlimited
  std::vector<std::deque<Nanos>> recentByTenant_;  // arrival times within the one-second window, oldest first
};

}  // namespace topazweir::broker

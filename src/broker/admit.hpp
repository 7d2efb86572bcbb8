// Stage 2, admit: is there room for the request, and is it within its tenant's contract?
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "broker/contract.hpp"
#include "broker/open.hpp"

namespace topazweir::broker {

class Admit {
 public:
  Admit(const Terms& terms, const OpenRequests& open)
      : terms_(terms), open_(open), recent_(terms.contracts.size()) {}
  // When to come back, if the request just taken in leaves more held than agreed; none: admitted.
  std::optional<Nanos> refusal() const;
  // Counts the request against its tenant's contract; true: it is beyond the quota.
  bool beyondQuota(const Request& request, Nanos now);
  // Requests of a tenant taken within the last second.
  std::size_t rate(std::size_t tenant, Nanos now) const;

  static constexpr Nanos kComeBack = 500'000'000;

 private:
  const Terms& terms_;
  const OpenRequests& open_;
  std::vector<std::deque<Nanos>> recent_;  // by tenant: requests taken within the quota's second
};

}  // namespace topazweir::broker

#include "broker/finish.hpp"

namespace topazweir::broker {

TenantCounters* Finisher::tenantCounters(const OpenRequest& open) {
  const auto at = static_cast<std::size_t>(open.request.tenant);
  return at < counters_.tenants.size() ? &counters_.tenants[at] : nullptr;
}

void Finisher::finish(RequestNo no, FinalAnswer answer) {
  auto* open = open_.find(no);
  if (!open) return;
  Front* front = open->front;
  open_.remove(no, clock_.now());  // before finish(): the front may submit a new request from there
  front->finish(no, std::move(answer));
}

void Finisher::answer(RequestNo no, bool whole) {
  auto* open = open_.find(no);
  if (!open) return;
  FinalAnswer answer{Verdict::answered, whole, false, 0, {}};
  for (auto& part : open->parts)
    if (part.delivered) answer.results.push_back({part.shard, std::move(part.value)});
  ++counters_.answered;
  if (!whole) ++counters_.answeredPartial;
  if (auto* counters = tenantCounters(*open)) ++counters->answered;
  finish(no, std::move(answer));
}

void Finisher::refuse(RequestNo no, Nanos retryAfter) {
  auto* open = open_.find(no);
  if (!open) return;
  ++counters_.refused;
  if (auto* counters = tenantCounters(*open)) ++counters->refused;
  finish(no, FinalAnswer{Verdict::refused, false, false, retryAfter, {}});
}

void Finisher::fail(RequestNo no, bool timedOut) {
  auto* open = open_.find(no);
  if (!open) return;
  ++counters_.failed;
  if (auto* counters = tenantCounters(*open)) ++counters->failed;
  finish(no, FinalAnswer{Verdict::failed, false, timedOut, 0, {}});
}

void Finisher::abandon(RequestNo no) {
  ++counters_.abandoned;
  open_.remove(no, clock_.now());
}

}  // namespace topazweir::broker

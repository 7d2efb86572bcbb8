#include "broker/relay.hpp"

#include "broker/route.hpp"

namespace topazweir::broker {

std::optional<AttemptEnded> OutcomeRecorder::ended(const AttemptId& id, Outcome outcome, std::string value,
                                                   Nanos now) {
  auto* open = open_.find(id.request);
  const auto at = static_cast<std::size_t>(id.part);
  const auto nth = static_cast<std::size_t>(id.attempt);
  if (!open || at >= open->parts.size() || nth >= open->parts[at].attempts.size()) return std::nullopt;
  auto& part = open->parts[at];
  auto& attempt = part.attempts[nth];
  if (!attempt.isOutstanding()) return std::nullopt;
  attempt.outcome = outcome;
  ++counters_.ends[static_cast<std::size_t>(outcome)];
  if (outcome == Outcome::delivered && !part.delivered) {
    part.delivered = true;
    part.value = std::move(value);
    open->charge.set(open->charge.bytes() + part.value.size());
  }
  return AttemptEnded{ModuleDriver::partId(id.request, at), id.attempt, attempt.server, outcome,
                      now - attempt.sentAt};
}

}  // namespace topazweir::broker

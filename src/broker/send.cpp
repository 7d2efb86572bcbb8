#include "broker/send.hpp"

#include <algorithm>

namespace topazweir::broker {

// Servers drop a duplicate of a keyed part only within keyedWindow after the first attempt that may have run,
// so an attempt that still waits for a connection must not be written later than that. Where the part may be
// hedged, this holds for a first attempt, too: it may still wait when its hedge has run.
Nanos AttemptSender::writeBy(const OpenRequest& open, const OpenPart& part) const {
  const auto& cls = terms_.settings.classes[static_cast<std::size_t>(open.request.queryClass)];
  if (cls.effect != Effect::keyed) return open.due;
  const bool mayBeHedged = terms_.settings.hedging && cls.copies;
  const auto end = part.attempts.end() - (mayBeHedged ? 0 : 1);  // the last one is this attempt
  const auto first =
      std::find_if(part.attempts.begin(), end, [](const Attempt& attempt) { return attempt.mayHaveRun(); });
  return first == end ? open.due : std::min(open.due, first->sentAt + cls.keyedWindow);
}

std::optional<AttemptId> AttemptSender::send(const AttemptId& id, const Send& order, Nanos now) {
  auto* open = open_.find(id.request);
  const auto at = static_cast<std::size_t>(id.part);
  if (!open || at >= open->parts.size()) return std::nullopt;
  auto& part = open->parts[at];
  const AttemptId attempt{id.request, id.part, static_cast<int>(part.attempts.size())};
  part.attempts.push_back(Attempt{order.server, now});
  // Enforces the limit of attempts and the deadline, whatever the module orders.
  const int maxAttempts = maxAttemptsFor(
      terms_.settings, terms_.settings.classes[static_cast<std::size_t>(open->request.queryClass)]);
  if (attempt.attempt >= maxAttempts || now >= open->due || open->streaming) {
    ++counters_.unsent;
    return attempt;
  }
  const Nanos left = open->due - now;
  if (attempt.attempt > 0) {
    ++counters_.furtherAttempts;
    const auto tenant = static_cast<std::size_t>(open->request.tenant);
    if (tenant < counters_.tenants.size()) ++counters_.tenants[tenant].furtherAttempts;
  }
  ++counters_.sent;
  backend_.start(AttemptOrder{
      attempt, order.server, open->request.id + '.' + std::to_string(part.shard), part.shard, open->query,
      order.timeout > 0 ? std::min(order.timeout, left) : left, writeBy(*open, part)});
  return std::nullopt;
}

void AttemptSender::cancel(const AttemptId& id) {
  auto* open = open_.find(id.request);
  const auto part = static_cast<std::size_t>(id.part);
  const auto at = static_cast<std::size_t>(id.attempt);
  if (!open || part >= open->parts.size() || at >= open->parts[part].attempts.size()) return;
  auto& attempt = open->parts[part].attempts[at];
  if (!attempt.isOutstanding()) return;
  attempt.outcome = Outcome::cancelled;
  ++counters_.ends[static_cast<std::size_t>(Outcome::cancelled)];
  backend_.cancel(id);
}

void AttemptSender::cancelOthers(RequestNo no, OpenRequest& open) {
  for (std::size_t p = 0; p < open.parts.size(); ++p)
    for (std::size_t a = 0; a < open.parts[p].attempts.size(); ++a)
      if (static_cast<int>(p) != open.streaming->part || static_cast<int>(a) != open.streaming->attempt)
        cancel({no, static_cast<int>(p), static_cast<int>(a)});
}

void AttemptSender::cancelAll(RequestNo no, OpenRequest& open) {
  for (std::size_t p = 0; p < open.parts.size(); ++p)
    for (std::size_t a = 0; a < open.parts[p].attempts.size(); ++a)
      cancel({no, static_cast<int>(p), static_cast<int>(a)});
}

}  // namespace topazweir::broker

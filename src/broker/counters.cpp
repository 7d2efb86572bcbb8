#include "broker/counters.hpp"

namespace topazweir::broker {

Counters& operator+=(Counters& to, const Counters& from) {
  const auto add = [](auto& a, const auto& b, auto... members) { ((a.*members += b.*members), ...); };
  add(to, from, &Counters::taken, &Counters::turnedAway, &Counters::invalid, &Counters::answered,
      &Counters::answeredPartial, &Counters::refused, &Counters::failed, &Counters::abandoned,
      &Counters::sent, &Counters::furtherAttempts, &Counters::unsent, &Counters::streamed);
  for (std::size_t i = 0; i < to.ends.size(); ++i) to.ends[i] += from.ends[i];
  if (to.tenants.size() < from.tenants.size()) to.tenants.resize(from.tenants.size());
  for (std::size_t i = 0; i < from.tenants.size(); ++i) {
    to.tenants[i].name = from.tenants[i].name;
    add(to.tenants[i], from.tenants[i], &TenantCounters::taken, &TenantCounters::answered,
        &TenantCounters::refused, &TenantCounters::failed, &TenantCounters::overQuota,
        &TenantCounters::furtherAttempts);
  }
  return to;
}

std::string print(const Counters& c, const std::string& prefix) {
  std::string out;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    out += prefix + name + ' ' + std::to_string(value) + '\n';
  };
  add("taken", c.taken);
  add("turned_away", c.turnedAway);
  add("invalid", c.invalid);
  add("answered", c.answered);
  add("answered_partial", c.answeredPartial);
  add("refused", c.refused);
  add("failed", c.failed);
  add("abandoned", c.abandoned);
  add("sent", c.sent);
  add("further_attempts", c.furtherAttempts);
  add("unsent", c.unsent);
  add("streamed", c.streamed);
  for (std::size_t i = 0; i < c.ends.size(); ++i) add(std::string("attempt_") + kOutcomeNames[i], c.ends[i]);
  for (const auto& t : c.tenants) {
    const auto of = [&](const char* name) { return std::string(name) + "{tenant=" + t.name + "}"; };
    add(of("taken"), t.taken);
    add(of("answered"), t.answered);
    add(of("refused"), t.refused);
    add(of("failed"), t.failed);
    add(of("over_quota"), t.overQuota);
    add(of("further_attempts"), t.furtherAttempts);
  }
  return out;
}

}  // namespace topazweir::broker

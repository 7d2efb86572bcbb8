#include "broker/counters.hpp"

namespace topazweir::broker {

std::string print(const Counters& c, const std::string& prefix) {
  std::string out;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    out += prefix + name + ' ' + std::to_string(value) + '\n';
  };
  add("taken", c.taken), add("turned_away", c.turnedAway), add("invalid", c.invalid);
  add("answered", c.answered), add("answered_partial", c.answeredPartial), add("refused", c.refused);
  add("failed", c.failed), add("abandoned", c.abandoned);
  add("sent", c.sent), add("further_attempts", c.furtherAttempts), add("unsent", c.unsent);
  for (std::size_t i = 0; i < c.ends.size(); ++i) add(std::string("attempt_") + kOutcomeNames[i], c.ends[i]);
  for (const auto& t : c.tenants) {
    const auto of = [&](const char* name) { return std::string(name) + "{tenant=" + t.name + "}"; };
    add(of("taken"), t.taken), add(of("answered"), t.answered), add(of("refused"), t.refused);
    add(of("failed"), t.failed), add(of("over_quota"), t.overQuota);
    add(of("further_attempts"), t.furtherAttempts);
  }
  return out;
}

}  // namespace topazweir::broker

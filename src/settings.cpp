// Checks whether settings make sense; decides nothing.
#include <cmath>
#include <string>

#include "topazweir/aggregator.hpp"

namespace topazweir {

std::optional<std::string> findFault(const Settings& s) {
  if (s.classes.empty()) return "no query class";
  if (s.aggregators < 1) return "fewer than one aggregator";
  if (s.number < 0) return "the aggregator's own number is below 0";
  if (s.shards < 1 || s.cells < 1 || s.reach < 1 || s.reach > s.cells)
    return "shards, cells or reach out of range";
  if (s.partsPerCall < 1 || s.maxAttempts < 1) return "parts per call or attempts below one";
  if (!(s.parallel >= 1) || !std::isfinite(s.parallel)) return "parallel parts below one";
  if (!(s.coldFrom > 0 && s.coldFrom <= 1)) return "cold share not within 0 to 1";
  for (const Nanos t : {s.tick, s.callOverhead, s.maxRetryAfter, s.answerSlack, s.askWithin, s.coldFor,
                        s.tipWindow, s.drainGrace})
    if (t < 0) return "a negative time";
  if (!std::isfinite(s.tipMultiple) || s.tipMultiple < 0) return "tip multiple not a number";
  for (const auto& c : s.classes) {
    if (c.aim <= 0 || c.deadline <= 0 || c.keyedWindow < 0 || c.leastLate < 0 || c.maxAttempts < 0)
      return "class " + c.name + ": time out of range";
    if (!(c.need >= 0 && c.need <= 1 && c.floor >= 0 && c.floor <= 1))
      return "class " + c.name + ": share out of range";
    if (c.secondStepParts < 0) return "class " + c.name + ": negative second step";
    if (!std::isfinite(c.worth) || !std::isfinite(c.lateWorth))
      return "class " + c.name + ": worth not a number";
  }
  if (s.budget && (s.budget->window <= 0 || !(s.budget->free >= 0) || !(s.budget->perTaken >= 0)))
    return "attempt budget out of range";
  return std::nullopt;
}

}  // namespace topazweir

// Validation of Settings.
#include <cmath>
#include <string>

#include "topazweir/aggregator.hpp"

namespace topazweir {

std::optional<std::string> findFault(const Settings& s) {
  if (s.classes.empty()) return "no query class is defined";
  if (s.aggregators < 1) return "the number of aggregators is below 1";
  if (s.number < 0) return "the index of this aggregator is negative";
  if (s.shards < 1 || s.cells < 1 || s.reach < 1 || s.reach > s.cells)
    return "shards, cells or reach is out of range";
  if (s.partsPerCall < 1 || s.maxAttempts < 1) return "parts per call or maximum attempts is below 1";
  if (!(s.parallel >= 1) || !std::isfinite(s.parallel))
    return "the number of parallel parts of a server is below 1 or not finite";
  if (!(s.coldCapacityShare > 0 && s.coldCapacityShare <= 1))
    return "the capacity share of a cold server is not in (0, 1]";
  for (const Nanos time : {s.tick, s.callOverhead, s.maxRetryAfter, s.answerSlack, s.listRequestInterval,
                           s.warmUpTime, s.overloadWindow, s.drainGrace})
    if (time < 0) return "a time is negative";
  if (!std::isfinite(s.overloadMultiple) || s.overloadMultiple < 0)
    return "the overload multiple of a cold server is negative or not finite";
  for (const auto& c : s.classes) {
    if (c.aim <= 0 || c.deadline <= 0 || c.keyedWindow < 0 || c.minLateTime < 0 || c.maxAttempts < 0)
      return "class " + c.name + ": a time or the number of attempts is out of range";
    if (!(c.need >= 0 && c.need <= 1 && c.floor >= 0 && c.floor <= 1))
      return "class " + c.name + ": the needed or the minimum share is not in [0, 1]";
    if (c.secondStepParts < 0)
      return "class " + c.name + ": the number of parts of the second step is negative";
    if (!std::isfinite(c.worth) || !std::isfinite(c.lateWorth))
      return "class " + c.name + ": a worth is not finite";
  }
  if (s.budget && (s.budget->window <= 0 || !(s.budget->free >= 0) || !(s.budget->attemptsPerAccepted >= 0)))
    return "the retry budget is out of range";
  return std::nullopt;
}

}  // namespace topazweir

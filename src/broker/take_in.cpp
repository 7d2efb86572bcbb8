#include "broker/take_in.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace topazweir::broker {

std::optional<std::string> TakeIn::fault(const Request& r) const {
  const auto below = [](int value, std::size_t limit) {
    return value >= 0 && static_cast<std::size_t>(value) < limit;
  };
  if (r.id.empty() || r.id.size() > 128) return "the request's id is empty or too long";
  for (const char c : r.id)  // it travels in lines of words
    if (c <= ' ' || c > '~') return "the request's id holds a space or an unprintable character";
  if (open_.hasId(r.id)) return "a request with this id is open";
  if (!below(r.queryClass, terms_.settings.classes.size())) return "unknown class";
  if (!terms_.contracts.empty() && !below(r.tenant, terms_.contracts.size())) return "unknown tenant";
  if (r.timeLeft <= 0 || r.timeLeft > terms_.longestDeadline) return "the deadline is out of range";
  if (r.parts.empty()) return "the request has no parts";
  std::set<int> shards;
  double weights = 0;
  for (const auto& part : r.parts) {
    if (!below(part.shard, static_cast<std::size_t>(terms_.settings.shards))) return "unknown shard";
    if (!shards.insert(part.shard).second) return "a shard is named twice";
    if (!std::isfinite(part.weight) || part.weight < 0 || part.weight > 1) return "a share is out of range";
    weights += part.weight;
  }
  // Shares that do not add up would make "whole" a lie.
  if (std::abs(weights - 1) > 0.01) return "the shares do not add up to 1";
  return std::nullopt;
}

RequestNo TakeIn::take(Request request, Front& front, Nanos now, Nanos end) {
  OpenRequest open;
  open.front = &front;
  open.takenAt = now;
  open.due = std::min(now + request.timeLeft, end);
  open.query = std::make_shared<const std::string>(std::move(request.query));
  for (const auto& part : request.parts) open.parts.push_back(OpenPart{part.shard, {}, false, {}});
  open.request = std::move(request);
  open_.add(++last_, std::move(open));
  return last_;
}

}  // namespace topazweir::broker

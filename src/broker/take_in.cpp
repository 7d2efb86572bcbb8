#include "broker/take_in.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace topazweir::broker {

namespace {
constexpr std::size_t kMaxIdChars = 128;
// What a part takes here and in the decision module, without its value.
constexpr std::size_t kPartBytes = 512;
constexpr double kWeightTolerance = 0.01;  // for rounding of the clients' shares
}  // namespace

std::optional<std::string> Intake::validate(const Request& r, Nanos now) const {
  const auto below = [](int value, std::size_t limit) {
    return value >= 0 && static_cast<std::size_t>(value) < limit;
  };
  if (r.id.empty() || r.id.size() > kMaxIdChars) return "the request's id is empty or too long";
  for (const char c : r.id)  // the id is sent in space-separated lines
    if (c <= ' ' || c > '~') return "the request's id holds a space or an unprintable character";
  if (open_.hasId(r.id)) return "a request with this id is open";
  if (open_.mayHaveRun(r.id, now)) return "a request with this id may have run already";
  if (!below(r.queryClass, terms_.settings.classes.size())) return "unknown class";
  if (!terms_.contracts.empty() && !below(r.tenant, terms_.contracts.size())) return "unknown tenant";
  if (r.timeLeft <= 0 || r.timeLeft > terms_.maxDeadline) return "the deadline is out of range";
  if (r.parts.empty()) return "the request has no parts";
  std::set<int> shards;
  double weights = 0;
  for (const auto& part : r.parts) {
    if (!below(part.shard, static_cast<std::size_t>(terms_.settings.shards))) return "unknown shard";
    if (!shards.insert(part.shard).second) return "a shard is named twice";
    if (!std::isfinite(part.weight) || part.weight < 0 || part.weight > 1) return "a share is out of range";
    weights += part.weight;
  }
  // Otherwise the delivered weight could not tell whether an answer is whole.
  if (std::abs(weights - 1) > kWeightTolerance) return "the shares do not add up to 1";
  return std::nullopt;
}

RequestNo Intake::take(Request request, Front& front, Nanos now, Nanos latestDue) {
  OpenRequest open;
  open.front = &front;
  open.charge = memory::Charge(buffers_);
  open.charge.set(request.query.size() + request.parts.size() * kPartBytes);
  open.takenAt = now;
  open.due = std::min(now + request.timeLeft, latestDue);
  open.query = std::make_shared<const std::string>(std::move(request.query));
  for (const auto& part : request.parts) open.parts.push_back(OpenPart{part.shard, {}, false, {}});
  open.request = std::move(request);
  open_.add(++lastNo_, std::move(open));
  return lastNo_;
}

}  // namespace topazweir::broker

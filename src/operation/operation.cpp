#include "operation/operation.hpp"

#include <algorithm>

namespace topazweir::operation {

Operation::Operation(std::string aggregator, ProcessId self, Nanos warmUpTime)
    : aggregator_(std::move(aggregator)), self_(self), cold_(warmUpTime) {}

Answered Operation::call(const Call& call, bool listed, Nanos now) {
  switch (call.kind) {
    case CommandKind::ready:
      return {ready(), {}};
    case CommandKind::disableServer:
    case CommandKind::enableServer:
      return setServer(call, listed, now);
    case CommandKind::drain:
      return setDrained(true, now);
    case CommandKind::resume:
      return setDrained(false, now);
  }
  return {{false, "unknown call"}, {}};
}

Reply Operation::ready() const {
  switch (phase_) {
    case Phase::starting:
      return {false, "starting: no clients are taken yet"};
    case Phase::serving:
      return {true, drained_.on ? "takes clients, and sends them away: drained" : "takes clients"};
    case Phase::ending:
    case Phase::ended:
      return {false, "ending: finishes what it has taken"};
  }
  return {};
}

Answered Operation::setServer(const Call& call, bool listed, Nanos now) {
  if (!listed && !holds_.known(call.instance)) return {{false, "no server has the id " + call.instance}, {}};
  const bool out = call.kind == CommandKind::disableServer;
  const bool was = holds_.out(call.instance);
  if (!holds_.set(call.instance, out, now))
    return {{false, "too many servers are out of service: " + std::to_string(Holds::kMost)}, {}};
  const std::string state = out ? "out of service" : "in service";
  if (out == was) return {{true, call.instance + " was " + state + " already"}, {}};
  return {{true, call.instance + " is " + state}, {{call.instance}, false}};
}

Answered Operation::setDrained(bool drained, Nanos now) {
  const bool was = drained_.on;
  // A process that is shutting down cannot accept clients again, unless a younger one will hear of the
  // command.
  const bool late = !drained && phase_ >= Phase::ending && !followed(now);
  if (late) return {{false, "ending: it will not take clients again"}, {}};
  drained_ = {drained, std::max(now, drained_.at + 1)};
  const std::string state = drained ? "clients are sent away" : "clients are taken";
  return {{true, was == drained ? state + ", as before" : state}, {{}, was != drained}};
}

Change Operation::heard(const Record& record, Nanos now) {
  if (record.aggregator != aggregator_ || record.process == self_) return {};
  Change change;
  change.leafs = holds_.merge(record.holds);
  if (record.drained.at > drained_.at) {
    change.clients = drained_.on != record.drained.on;
    drained_ = record.drained;
  }
  change.coldSends = cold_.fresh(record.coldSends);
  auto& peer = peers_[record.process];
  change.clients = change.clients || peer.phase != record.phase;
  peer = {record.phase, std::max(peer.heardAt, record.writtenAt)};
  std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heardAt > 2 * kPeerTimeoutNs; });
  return change;
}

bool Operation::hasPeer(Nanos now, bool youngerServing) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& [process, peer] = entry;
    if (peer.phase == Phase::ended || now - peer.heardAt > kPeerTimeoutNs) return false;
    return !youngerServing || (process > self_ && peer.phase == Phase::serving);
  });
}

bool Operation::mayServe(const Readiness& prepared, Nanos now) const {
  if (phase_ != Phase::starting) return false;
  return (prepared.list && (prepared.connected || !accompanied(now))) || now - self_.startedAt >= kMaxStartNs;
}

void Operation::serves() {
  if (phase_ == Phase::starting) phase_ = Phase::serving;
}

bool Operation::takesClients(Nanos now) const {
  if (drained_.on || phase_ == Phase::starting) return false;
  return phase_ == Phase::serving || followed(now);
}

Record Operation::record(std::string list, Nanos now) {
  holds_.forget(now);
  return {aggregator_, self_, phase_, now, holds_.all(), drained_, cold_.recent(now), std::move(list)};
}

}  // namespace topazweir::operation

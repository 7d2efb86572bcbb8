// Probing, suspicion and gossip of the failure detector.
#include "membership/detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace topazweir::membership {

namespace {
constexpr std::size_t kLeaveNotifications = 32;  // members notified directly; gossip reaches the others
constexpr std::size_t kMaxRelayedProbes = 256;   // outstanding probes on behalf of other members
double log10Of(std::size_t members) { return std::max(1.0, std::log10(static_cast<double>(members))); }
Nanos times(Nanos time, double factor) { return static_cast<Nanos>(static_cast<double>(time) * factor); }
}  // namespace

Detector::Detector(Settings settings, Record self)
    : settings_(settings), self_(self.name), random_(settings.seed) {
  members_[self_].record = std::move(self);
}

void Detector::adjustHealth(int delta) { health_ = std::clamp(health_ + delta, 0, settings_.maxHealthScore); }

// Falls from the longest to the shortest time with each independent confirmation (Lifeguard, section IV).
Nanos Detector::suspicionTime(const Suspicion& suspicion) const {
  const double shortest = settings_.suspicionFactor * log10Of(alive_) * static_cast<double>(settings_.period);
  if (!settings_.lifeguard) return static_cast<Nanos>(shortest);
  const double longest = settings_.maxSuspicionFactor * shortest;
  const double confirmed = static_cast<double>(suspicion.by.size() - 1);
  const double part = std::log(confirmed + 1) / std::log(static_cast<double>(settings_.confirmations) + 1);
  return static_cast<Nanos>(std::max(shortest, longest - (longest - shortest) * part));
}

void Detector::send(Step& step, const std::string& to, Message message, std::size_t updateBytes) {
  message.sender = self_;
  message.from = self().address;
  message.load = members_.at(self_).load;
  if (usesStream(message.kind)) {
    for (const auto& [name, member] : members_) message.news.push_back(member.record);
  } else {
    addUpdates(message, updateBytes);
  }
  step.out.push_back({to, std::move(message)});
}

// Updates with the fewest sends go first, the newest among equals: after a thousand joins a failure must not
// wait behind them. What does not fit goes with a later message.
void Detector::addUpdates(Message& message, std::size_t updateBytes) {
  if (updates_.empty()) return;
  std::vector<QueuedUpdate*> candidates;
  for (auto& [name, update] : updates_) candidates.push_back(&update);
  const auto considered =
      static_cast<std::ptrdiff_t>(std::min(candidates.size(), 2 * settings_.updatesPerMessage));
  std::partial_sort(candidates.begin(), candidates.begin() + considered, candidates.end(),
                    [](const QueuedUpdate* a, const QueuedUpdate* b) {
                      return a->sends != b->sends ? a->sends < b->sends : a->queuedAt > b->queuedAt;
                    });
  candidates.resize(static_cast<std::size_t>(considered));
  for (auto* update : candidates) {
    if (message.news.size() >= settings_.updatesPerMessage) break;
    const auto bytes = weight(update->record);
    if (bytes > updateBytes) continue;
    updateBytes -= bytes;
    ++update->sends;
    message.news.push_back(update->record);
  }
  const double maxSends = settings_.retransmitFactor * std::log(static_cast<double>(alive_) + 1);
  std::erase_if(updates_, [&](const auto& entry) { return entry.second.sends >= maxSends; });
}

// Limits amplification: a request with a forged sender address must not flood that address with answers.
std::size_t Detector::updateBytesOfAnswer(const Message& request) const {
  if (request.size == 0) return settings_.updateBytesPerMessage;
  const std::size_t maxAnswer = settings_.maxAmplification * request.size;
  const std::size_t frame = request.size;
  return std::min(settings_.updateBytesPerMessage, maxAnswer - frame);
}

void Detector::says(Duty duty) {
  auto& own = members_.at(self_).record;
  if (own.published.duty == duty) return;
  own.published = {own.published.revision + 1, duty};
  queueUpdate(own);
}

// Handles a record about this member itself, received from a peer. Only the member is an authority on its own
// state, so it refutes anything else with a higher incarnation.
void Detector::refute(const Record& record, Step& step) {
  auto& own = members_.at(self_).record;
  const bool otherAddress = record.address != own.address;
  // A record left by an earlier process of another version is refuted as well, since peers choose the message
  // format by the recorded version.
  const bool outdated = otherAddress || record.state != own.state || record.version != own.version ||
                        record.published.revision > own.published.revision;
  if (record.incarnation < own.incarnation || (record.incarnation == own.incarnation && !outdated)) return;
  // A record of an earlier process of this name is refuted once; if it comes again, a live process uses the
  // name.
  if (otherAddress && addressRefuted_ && record.state == State::alive) step.nameTakenBy = record.address;
  addressRefuted_ = addressRefuted_ || otherAddress;
  own.incarnation = record.incarnation + 1;
  if (record.state == State::suspect) adjustHealth(1);
  queueUpdate(own);
}

// Merges a received record into the view and queues it for gossip if it is new.
void Detector::merge(const Record& record, const std::string& from, Step& step) {
  if (record.name == self_) return refute(record, step);
  const auto at = members_.find(record.name);
  if (at == members_.end()) {
    if (members_.size() >= settings_.maxMembers) return void(++dropped_);
    return setState(record, "heard from " + from, step);
  }
  auto& known = at->second.record;
  const bool sameIncarnation = record.incarnation == known.incarnation;
  if (sameIncarnation && record.state == State::suspect && known.state == State::suspect) {
    auto& by = suspicions_[record.name].by;
    if (by.size() <= settings_.confirmations && by.insert(record.by).second) queueUpdate(record);
  }
  const bool newerRevision = sameIncarnation && record.published.revision > known.published.revision;
  if (outranks(record, known)) {
    auto merged = record;
    if (sameIncarnation && !newerRevision) merged.published = known.published;
    setState(std::move(merged), "heard from " + from, step);
  } else if (newerRevision) {
    known.published = record.published;
    queueUpdate(known);
    step.changes.push_back({known, "it says so"});
  }
}

void Detector::setState(Record record, const std::string& cause, Step& step) {
  auto& member = members_[record.name];
  const bool wasAlive = member.since > 0 && member.record.state <= State::suspect;
  const bool isAlive = record.state <= State::suspect;
  alive_ = alive_ + (isAlive ? 1 : 0) - (wasAlive ? 1 : 0);
  if (record.state == State::suspect) {
    suspicions_[record.name] = {now_, {record.by}};
  } else {
    suspicions_.erase(record.name);
  }
  queueUpdate(record);
  step.changes.push_back({record, cause});
  member.record = std::move(record);
  member.since = now_;
  member.cause = cause;
}

Step Detector::join(const std::vector<std::string>& seeds, Nanos now) {
  Step step;
  now_ = lastTick_ = now;
  seeds_ = seeds;
  probeAt_ = now + std::uniform_int_distribution<Nanos>(0, settings_.period)(random_);
  syncAt_ = now + settings_.syncInterval;
  members_.at(self_).since = now;
  queueUpdate(self());
  for (const auto& seed : seeds)
    if (seed != self().address) send(step, seed, Message{.kind = Kind::sync});
  return step;
}

Step Detector::leave(Nanos now) {
  Step step;
  now_ = now;
  auto& own = members_.at(self_).record;
  own.state = State::left;
  queueUpdate(own);
  std::vector<const Record*> others;
  for (const auto& [name, member] : members_)
    if (name != self_ && member.record.state <= State::suspect) others.push_back(&member.record);
  std::shuffle(others.begin(), others.end(), random_);
  if (others.size() > kLeaveNotifications) others.resize(kLeaveNotifications);
  for (const auto* other : others) {
    Message message{.kind = Kind::ping, .about = other->name};
    message.news = {own};  // always included, independent of the gossip queue
    send(step, other->address, std::move(message), 0);
  }
  return step;
}

// Probes all members in rounds of random order, so that each is probed within two rounds (SWIM, section 4.3).
std::string Detector::nextTarget() {
  while (true) {
    if (probeOrder_.empty()) {
      for (const auto& [name, member] : members_)
        if (name != self_ && member.record.state <= State::suspect) probeOrder_.push_back(name);
      std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
      if (probeOrder_.empty()) return {};
    }
    const auto name = probeOrder_.back();
    probeOrder_.pop_back();
    const auto at = members_.find(name);
    if (at != members_.end() && at->second.record.state <= State::suspect) return name;
  }
}

void Detector::startProbe(Step& step) {
  probeAt_ = now_ + times(settings_.period, healthMultiplier());
  const auto target = nextTarget();
  if (target.empty()) {
    return sync(step);  // isolated: the seeds are the way to find members that have returned
  }
  probeSequence_ = ++sequence_;
  probe_ = Probe{target, now_, false, 0};
  // A suspected member gets the suspicion along with the probe, so that it can refute it at once.
  const auto& record = members_.at(target).record;
  if (record.state == State::suspect) queueUpdate(record);
  send(step, record.address, Message{.kind = Kind::ping, .about = target, .sequence = probeSequence_});
}

void Detector::checkProbe(Step& step) {
  if (!probe_) return;
  const Nanos age = now_ - probe_->sentAt;
  if (!probe_->indirect && age >= times(settings_.probeTimeout, healthMultiplier())) {
    probe_->indirect = true;
    std::vector<std::string> others;
    for (const auto& [name, member] : members_)
      if (name != self_ && name != probe_->target && member.record.state == State::alive)
        others.push_back(name);
    std::shuffle(others.begin(), others.end(), random_);
    if (others.size() > settings_.indirectProbes) others.resize(settings_.indirectProbes);
    probe_->nacksDue = others.size();
    for (const auto& name : others)
      send(step, members_.at(name).record.address,
           Message{.kind = Kind::pingRequest, .about = probe_->target, .sequence = probeSequence_});
  }
  if (now_ < probeAt_) return;
  // Missing nacks point to a problem in this member's own network (Lifeguard).
  adjustHealth(settings_.lifeguard && probe_->nacksDue > 0 ? static_cast<int>(probe_->nacksDue) : 1);
  const auto at = members_.find(probe_->target);
  probe_.reset();
  if (at == members_.end()) return;
  auto record = at->second.record;
  // The target is already suspect: this member's own failed probe is a confirmation, to be merged like a
  // peer's.
  if (record.state == State::suspect) {
    record.by = self_;
    return merge(record, self().address, step);
  }
  if (record.state != State::alive) return;
  record.state = State::suspect;
  record.by = self_;
  setState(std::move(record), "no answer to a probe", step);
}

void Detector::expireSuspicions(Step& step) {
  std::vector<std::string> expired;
  for (const auto& [name, suspicion] : suspicions_)
    if (now_ - suspicion.since >= suspicionTime(suspicion)) expired.push_back(name);
  for (const auto& name : expired) {
    auto record = members_.at(name).record;
    record.state = State::failed;
    setState(std::move(record), "suspected for too long", step);
  }
}

Step Detector::tick(Nanos now) {
  Step step;
  now_ = now;
  if (self().state == State::left) return step;
  // After a stall of this process, answers may be waiting unread in the socket. So as not to suspect healthy
  // peers, it raises its local health score (higher is worse, timeouts get longer) and restarts all timers.
  const Nanos gap = now - std::exchange(lastTick_, now);
  if (gap > settings_.period) {
    probe_.reset();
    adjustHealth(static_cast<int>(std::min<Nanos>(gap / settings_.period, settings_.maxHealthScore)));
    for (auto& [name, suspicion] : suspicions_) suspicion.since += gap;
    probeAt_ = now + settings_.period;
  }
  checkProbe(step);
  if (now >= probeAt_) startProbe(step);
  expireSuspicions(step);
  for (auto& [sequence, probe] : relayedProbes_)
    if (settings_.lifeguard && !probe.nacked && now - probe.sentAt >= settings_.probeTimeout * 8 / 10) {
      probe.nacked = true;
      send(step, probe.address, Message{.kind = Kind::nack, .sequence = probe.sequence});
    }
  std::erase_if(relayedProbes_,
                [&](const auto& entry) { return now - entry.second.sentAt > 4 * settings_.period; });
  if (now >= syncAt_) {
    forgetDeparted();
    sync(step);
  }
  return step;
}

// Exchanges the full member list with a random member, which may be a failed one, or with a seed. This heals
// partitions however long they lasted.
void Detector::sync(Step& step) {
  syncAt_ = now_ + times(settings_.syncInterval, 0.5 + static_cast<double>(random_() % 1000) / 1000.0);
  std::vector<std::string> others;  // addresses
  bool isolated = true;
  for (const auto& [name, member] : members_) {
    if (name == self_ || member.record.state == State::left) continue;
    others.push_back(member.record.address);
    isolated = isolated && member.record.state != State::alive;
  }
  const auto request = [&](const std::string& address) {
    if (address != self().address) send(step, address, Message{.kind = Kind::sync});
  };
  if (isolated) std::for_each(seeds_.begin(), seeds_.end(), request);
  if (!isolated) others.insert(others.end(), seeds_.begin(), seeds_.end());
  if (!others.empty()) request(others[random_() % others.size()]);
}

// Removes failed and left members: names that are replaced daily must not accumulate in memory.
void Detector::forgetDeparted() {
  std::erase_if(members_, [&](const auto& entry) {
    return entry.second.record.state >= State::failed && entry.first != self_ &&
           now_ - entry.second.since > settings_.forgetTimeout;
  });
}

Step Detector::received(const Message& message, Nanos now) {
  Step step;
  now_ = now;
  if (self().state == State::left) return step;
  for (const auto& record : message.news) {
    // Alive members learnt from a sync reply are new to this member only; gossiping them would repeat them to
    // the whole fleet with each join.
    const bool known = members_.count(record.name) > 0 || record.state != State::alive;
    merge(record, message.from, step);
    if (message.kind == Kind::syncReply && !known) updates_.erase(record.name);
  }
  if (const auto at = members_.find(message.sender); at != members_.end() && message.sender != self_) {
    at->second.heardAt = now;
    at->second.load = message.load;
  }
  switch (message.kind) {
    case Kind::ping:
      if (message.about == self_)
        send(step, message.from, Message{.kind = Kind::ack, .about = self_, .sequence = message.sequence},
             updateBytesOfAnswer(message));
      break;
    case Kind::pingRequest:
      if (const auto at = members_.find(message.about);
          at != members_.end() && relayedProbes_.size() < kMaxRelayedProbes) {
        relayedProbes_[++sequence_] = {message.from, message.sequence, now, false};
        send(step, at->second.record.address,
             Message{.kind = Kind::ping, .about = message.about, .sequence = sequence_},
             updateBytesOfAnswer(message));
      }
      break;
    case Kind::ack:
      if (const auto at = relayedProbes_.find(message.sequence); at != relayedProbes_.end()) {
        send(step, at->second.address,
             Message{.kind = Kind::ack, .about = message.about, .sequence = at->second.sequence});
        relayedProbes_.erase(at);
      } else if (probe_ && message.sequence == probeSequence_ && message.about == probe_->target) {
        probe_.reset();
        adjustHealth(-1);
      }
      break;
    case Kind::nack:
      if (probe_ && message.sequence == probeSequence_ && probe_->nacksDue > 0) --probe_->nacksDue;
      break;
    case Kind::sync:
      send(step, message.from, Message{.kind = Kind::syncReply});
      break;
    case Kind::syncReply:
    case Kind::agreement:  // handled by other modules
    case Kind::follow:
    case Kind::followReply:
    case Kind::dissemination:
      break;
  }
  return step;
}

}  // namespace topazweir::membership

#include "membership/detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace topazweir::membership {

namespace {
constexpr std::size_t kToldAtLeaving = 32;  // they tell the others
constexpr std::size_t kMostAsked = 256;     // probes on behalf of others at once
double log10Of(std::size_t members) { return std::max(1.0, std::log10(static_cast<double>(members))); }
Nanos times(Nanos time, double factor) { return static_cast<Nanos>(static_cast<double>(time) * factor); }
}  // namespace

Detector::Detector(Settings settings, Record self)
    : settings_(settings), self_(self.name), random_(settings.seed) {
  members_[self_].record = std::move(self);
}

void Detector::healthBy(int step) { health_ = std::clamp(health_ + step, 0, settings_.worstHealth); }

// From the longest down to the shortest with each independent confirmation (Lifeguard, section IV).
Nanos Detector::suspicionTime(const Suspicion& suspicion) const {
  const double least = settings_.suspicion * log10Of(alive_) * static_cast<double>(settings_.period);
  if (!settings_.lifeguard) return static_cast<Nanos>(least);
  const double most = settings_.longest * least, heard = static_cast<double>(suspicion.by.size() - 1);
  const double part = std::log(heard + 1) / std::log(static_cast<double>(settings_.confirmations) + 1);
  return static_cast<Nanos>(std::max(least, most - (most - least) * part));
}

void Detector::send(Step& step, const std::string& to, Message message, std::size_t room) {
  message.sender = self_;
  message.from = self().address;
  message.load = members_.at(self_).load;
  if (byStream(message.kind)) {
    for (const auto& [name, member] : members_) message.news.push_back(member.record);
  } else {
    addNews(message, room);
  }
  step.out.push_back({to, std::move(message)});
}

// The least told goes first, of these the latest: after a thousand have joined a failure must not wait behind
// them. What does not fit goes with a later message.
void Detector::addNews(Message& message, std::size_t room) {
  if (news_.empty()) return;
  std::vector<News*> due;
  for (auto& [name, news] : news_) due.push_back(&news);
  const auto looked = static_cast<std::ptrdiff_t>(std::min(due.size(), 2 * settings_.newsPerMessage));
  std::partial_sort(due.begin(), due.begin() + looked, due.end(), [](const News* a, const News* b) {
    return a->told != b->told ? a->told < b->told : a->at > b->at;
  });
  due.resize(static_cast<std::size_t>(looked));
  for (auto* news : due) {
    if (message.news.size() >= settings_.newsPerMessage) break;
    const auto bytes = weight(news->record);
    if (bytes > room) continue;
    room -= bytes, ++news->told;
    message.news.push_back(news->record);
  }
  const double most = settings_.repeats * std::log(static_cast<double>(alive_) + 1);
  std::erase_if(news_, [&](const auto& entry) { return entry.second.told >= most; });
}

// Guards others against being flooded by answers to questions that they have not asked.
std::size_t Detector::roomToAnswer(const Message& question) const {
  if (question.size == 0) return settings_.room;
  const std::size_t most = settings_.amplify * question.size, frame = question.size;
  return std::min(settings_.room, most - frame);
}

void Detector::says(Duty duty) {
  auto& own = members_.at(self_).record;
  if (own.published.duty == duty) return;
  own.published = {own.published.revision + 1, duty};
  told(own);
}

// Of itself it alone speaks, and refutes what others say.
void Detector::hearOfItself(const Record& record, Step& step) {
  auto& own = members_.at(self_).record;
  const bool elsewhere = record.address != own.address;
  // An earlier process of another version: what others send to this one goes by its version.
  const bool wrong = elsewhere || record.state != own.state || record.version != own.version ||
                     record.published.revision > own.published.revision;
  if (record.incarnation < own.incarnation || (record.incarnation == own.incarnation && !wrong)) return;
  // What an earlier process of this name has said is refuted once; said again, somebody lives there.
  if (elsewhere && moved_ && record.state == State::alive) step.nameTakenBy = record.address;
  moved_ = moved_ || elsewhere;
  own.incarnation = record.incarnation + 1;
  if (record.state == State::suspect) healthBy(1);
  told(own);
}

// Takes what is news.
void Detector::hear(const Record& record, const std::string& from, Step& step) {
  if (record.name == self_) return hearOfItself(record, step);
  const auto at = members_.find(record.name);
  if (at == members_.end()) {
    if (members_.size() >= settings_.mostMembers) return void(++dropped_);
    return note(record, "heard from " + from, step);
  }
  auto& known = at->second.record;
  const bool same = record.incarnation == known.incarnation;
  if (same && record.state == State::suspect && known.state == State::suspect) {
    auto& by = suspicions_[record.name].by;
    if (by.size() <= settings_.confirmations && by.insert(record.by).second) told(record);
  }
  const bool later = same && record.published.revision > known.published.revision;
  if (outranks(record, known)) {
    auto merged = record;
    if (same && !later) merged.published = known.published;
    note(std::move(merged), "heard from " + from, step);
  } else if (later) {
    known.published = record.published;
    told(known);
    step.changes.push_back({known, "it says so"});
  }
}

void Detector::note(Record record, const std::string& cause, Step& step) {
  auto& member = members_[record.name];
  const bool was = member.since > 0 && member.record.state <= State::suspect;
  const bool is = record.state <= State::suspect;
  alive_ = alive_ + (is ? 1 : 0) - (was ? 1 : 0);
  if (record.state == State::suspect) {
    suspicions_[record.name] = {now_, {record.by}};
  } else {
    suspicions_.erase(record.name);
  }
  told(record);
  step.changes.push_back({record, cause});
  member.record = std::move(record);
  member.since = now_, member.cause = cause;
}

Step Detector::join(const std::vector<std::string>& seeds, Nanos now) {
  Step step;
  now_ = lastTick_ = now;
  seeds_ = seeds;
  probeAt_ = now + std::uniform_int_distribution<Nanos>(0, settings_.period)(random_);
  syncAt_ = now + settings_.syncEvery;
  members_.at(self_).since = now;
  told(self());
  for (const auto& seed : seeds)
    if (seed != self().address) send(step, seed, Message{.kind = Kind::sync});
  return step;
}

Step Detector::leave(Nanos now) {
  Step step;
  now_ = now;
  auto& own = members_.at(self_).record;
  own.state = State::left;
  told(own);
  std::vector<const Record*> others;
  for (const auto& [name, member] : members_)
    if (name != self_ && member.record.state <= State::suspect) others.push_back(&member.record);
  std::shuffle(others.begin(), others.end(), random_);
  if (others.size() > kToldAtLeaving) others.resize(kToldAtLeaving);
  for (const auto* other : others) {
    Message message{.kind = Kind::ping, .about = other->name};
    message.news = {own};  // each hears it, however often news is repeated
    send(step, other->address, std::move(message), 0);
  }
  return step;
}

// Round by round in a drawn order, so that each is probed within two rounds (SWIM, section 4.3).
std::string Detector::nextTarget() {
  while (true) {
    if (order_.empty()) {
      for (const auto& [name, member] : members_)
        if (name != self_ && member.record.state <= State::suspect) order_.push_back(name);
      std::shuffle(order_.begin(), order_.end(), random_);
      if (order_.empty()) return {};
    }
    const auto name = order_.back();
    order_.pop_back();
    const auto at = members_.find(name);
    if (at != members_.end() && at->second.record.state <= State::suspect) return name;
  }
}

void Detector::probe(Step& step) {
  probeAt_ = now_ + times(settings_.period, scale());
  const auto target = nextTarget();
  if (target.empty()) {
    return sync(step);  // alone: whoever is there again is found at the seeds
  }
  outSequence_ = ++sequence_;
  out_ = Probe{target, now_, false, 0};
  // One who is suspected hears it with the question, and can say at once that it is not so.
  const auto& record = members_.at(target).record;
  if (record.state == State::suspect) told(record);
  send(step, record.address, Message{.kind = Kind::ping, .about = target, .sequence = outSequence_});
}

void Detector::endProbe(Step& step) {
  if (!out_) return;
  const Nanos age = now_ - out_->sentAt;
  if (!out_->indirect && age >= times(settings_.answerTime, scale())) {
    out_->indirect = true;
    std::vector<std::string> others;
    for (const auto& [name, member] : members_)
      if (name != self_ && name != out_->target && member.record.state == State::alive)
        others.push_back(name);
    std::shuffle(others.begin(), others.end(), random_);
    if (others.size() > settings_.indirect) others.resize(settings_.indirect);
    out_->nacksDue = others.size();
    for (const auto& name : others)
      send(step, members_.at(name).record.address,
           Message{.kind = Kind::pingFor, .about = out_->target, .sequence = outSequence_});
  }
  if (now_ < probeAt_) return;
  // Nacks that did not come either speak against this member's own network.
  healthBy(settings_.lifeguard && out_->nacksDue > 0 ? static_cast<int>(out_->nacksDue) : 1);
  const auto at = members_.find(out_->target);
  out_.reset();
  if (at == members_.end()) return;
  auto record = at->second.record;
  // A second one's own failure confirms the first one's; otherwise it would be for the others alone to do.
  if (record.state == State::suspect) {
    record.by = self_;
    return hear(record, self().address, step);
  }
  if (record.state != State::alive) return;
  record.state = State::suspect;
  record.by = self_;
  note(std::move(record), "no answer to a probe", step);
}

void Detector::endSuspicions(Step& step) {
  std::vector<std::string> over;
  for (const auto& [name, suspicion] : suspicions_)
    if (now_ - suspicion.since >= suspicionTime(suspicion)) over.push_back(name);
  for (const auto& name : over) {
    auto record = members_.at(name).record;
    record.state = State::failed;
    note(std::move(record), "suspected for too long", step);
  }
}

Step Detector::tick(Nanos now) {
  Step step;
  now_ = now;
  if (self().state == State::left) return step;
  // Guards the others against a member that has stood still: what it waited for may have come and not been
  // read, so it doubts itself first, and every wait begins anew.
  const Nanos gap = now - std::exchange(lastTick_, now);
  if (gap > settings_.period) {
    out_.reset();
    healthBy(static_cast<int>(std::min<Nanos>(gap / settings_.period, settings_.worstHealth)));
    for (auto& [name, suspicion] : suspicions_) suspicion.since += gap;
    probeAt_ = now + settings_.period;
  }
  endProbe(step);
  if (now >= probeAt_) probe(step);
  endSuspicions(step);
  for (auto& [sequence, asked] : asked_)
    if (settings_.lifeguard && !asked.nacked && now - asked.sentAt >= settings_.answerTime * 8 / 10) {
      asked.nacked = true;
      send(step, asked.address, Message{.kind = Kind::nack, .sequence = asked.sequence});
    }
  std::erase_if(asked_, [&](const auto& entry) { return now - entry.second.sentAt > 4 * settings_.period; });
  if (now >= syncAt_) forget(), sync(step);
  return step;
}

// With a member, drawn, also one that is held to have failed, or a seed that is not there: it heals what was
// parted, however long ago.
void Detector::sync(Step& step) {
  syncAt_ = now_ + times(settings_.syncEvery, 0.5 + static_cast<double>(random_() % 1000) / 1000.0);
  std::vector<std::string> others;  // addresses
  bool alone = true;
  for (const auto& [name, member] : members_) {
    if (name == self_ || member.record.state == State::left) continue;
    others.push_back(member.record.address);
    alone = alone && member.record.state != State::alive;
  }
  const auto ask = [&](const std::string& address) {
    if (address != self().address) send(step, address, Message{.kind = Kind::sync});
  };
  if (alone) std::for_each(seeds_.begin(), seeds_.end(), ask);
  if (!alone) others.insert(others.end(), seeds_.begin(), seeds_.end());
  if (!others.empty()) ask(others[random_() % others.size()]);
}

// Replaced day after day, members must not fill the memory.
void Detector::forget() {
  std::erase_if(members_, [&](const auto& entry) {
    return entry.second.record.state >= State::failed && entry.first != self_ &&
           now_ - entry.second.since > settings_.forgetAfter;
  });
}

Step Detector::received(const Message& message, Nanos now) {
  Step step;
  now_ = now;
  if (self().state == State::left) return step;
  for (const auto& record : message.news) {
    // Who is there by the answer to an exchange is news to this one alone: the others need not hear it again
    // from each that joins.
    const bool met = members_.count(record.name) > 0 || record.state != State::alive;
    hear(record, message.from, step);
    if (message.kind == Kind::syncReply && !met) news_.erase(record.name);
  }
  if (const auto at = members_.find(message.sender); at != members_.end() && message.sender != self_)
    at->second.heardAt = now, at->second.load = message.load;
  switch (message.kind) {
    case Kind::ping:
      if (message.about == self_)
        send(step, message.from, Message{.kind = Kind::ack, .about = self_, .sequence = message.sequence},
             roomToAnswer(message));
      break;
    case Kind::pingFor:
      if (const auto at = members_.find(message.about); at != members_.end() && asked_.size() < kMostAsked) {
        asked_[++sequence_] = {message.from, message.sequence, now, false};
        send(step, at->second.record.address,
             Message{.kind = Kind::ping, .about = message.about, .sequence = sequence_},
             roomToAnswer(message));
      }
      break;
    case Kind::ack:
      if (const auto at = asked_.find(message.sequence); at != asked_.end()) {
        send(step, at->second.address,
             Message{.kind = Kind::ack, .about = message.about, .sequence = at->second.sequence});
        asked_.erase(at);
      } else if (out_ && message.sequence == outSequence_ && message.about == out_->target) {
        out_.reset();
        healthBy(-1);
      }
      break;
    case Kind::nack:
      if (out_ && message.sequence == outSequence_ && out_->nacksDue > 0) --out_->nacksDue;
      break;
    case Kind::sync:
      send(step, message.from, Message{.kind = Kind::syncReply});
      break;
    case Kind::syncReply:
    case Kind::agreement:  // not this part's
    case Kind::follow:
    case Kind::followReply:
    case Kind::dissemination:
      break;
  }
  return step;
}

}  // namespace topazweir::membership

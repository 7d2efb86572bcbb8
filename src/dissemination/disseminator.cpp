// What a member keeps: the replica, its place in the tree, its parent, its children and at most one snapshot
// on its way. What waits for the budget is no queue: each child's place in the log says what it still gets.
#include "dissemination/disseminator.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "dissemination/budget.hpp"
#include "dissemination/children.hpp"
#include "dissemination/fetch.hpp"
#include "dissemination/messages.hpp"
#include "dissemination/parents.hpp"
#include "dissemination/replica.hpp"
#include "dissemination/tree.hpp"

namespace topazweir::dissemination {

namespace {

constexpr Nanos kMs = 1'000'000, kSec = 1000 * kMs;
constexpr std::size_t kBatchBytes = 1100;     // of changes in a message, so that it is a datagram
constexpr std::size_t kBeatBytes = 22;        // with the head
constexpr double kBeatShare = 0.6;            // of the bytes that may be sent in the mean
constexpr std::size_t kLogWorth = 64 * 1024;  // from here on a snapshot may be less than the changes
constexpr Nanos kReportGap = 500 * kMs;       // between two reports that nobody has asked for
constexpr Nanos kResend = 500 * kMs;          // sent changes that a report does not show by then are lost
constexpr Nanos kInFlight = 250 * kMs;        // from sent changes to a report that would show them
constexpr Nanos kReorder = 100 * kMs;         // messages may overtake each other by so much
constexpr std::size_t kMostEarly = 64;        // messages of changes kept that came too early
constexpr Nanos kAskGap = 250 * kMs, kOddGap = 1000 * kMs;
constexpr Nanos kSlow = 2 * kSec, kMostSlow = 16 * kSec;  // behind without any progress: the parent is slow
constexpr Nanos kServed = 1500 * kMs;  // from one question for pieces to the next of the same
// So long without a beat of fresh news that are this one's state: a later generation than they have is none
// that the voters know of, such as one begun by a clock that was ahead.
constexpr Nanos kContradicted = 30 * kSec;
constexpr Nanos kForgetEvery = 500 * kMs;
constexpr Nanos kStill = 500 * kMs;  // between two ticks: the process stood still
// What a message is taken to have been on its way, at most. No clock tells, and without it news that goes
// round between two that have each other as parents would stay as fresh as it was.
constexpr Nanos kOnTheWay = 100 * kMs;
constexpr Nanos kDoubt = 500 * kMs;  // after that: what comes in may be as old

struct Vouch {
  std::uint64_t number = 0;
  std::uint32_t mark = 0;
  Nanos at = 0;
};

}  // namespace

struct Disseminator::Impl {
  explicit Impl(Settings given)
      : s(std::move(given)),
        replica({s.tailChanges, s.tailBytes, std::max<std::uint64_t>(s.snapshotEvery, 1)}),
        budget(s.bytesPerSecond, s.burstBytes),
        parents(s.silentAfter, s.staleAfter, s.seed) {}

  // Sending.
  bool send(const std::string& to, std::string bytes, Urgency urgency, Nanos now) {
    if (!budget.spend(bytes.size() + s.frameBytes, urgency, now)) return false;
    ++counters.sent;
    counters.sentBytes += bytes.size() + s.frameBytes;
    out.push_back({to, std::move(bytes)});
    return true;
  }
  void word(const std::string& to, std::string bytes, Nanos now) {
    if (!send(to, std::move(bytes), Urgency::word, now)) ++counters.deferred;
  }
  void answer(const std::string& to, std::string bytes, Nanos now) {
    if (!send(to, std::move(bytes), Urgency::answer, now)) ++counters.deferred;
  }
  std::vector<Out> sent() { return std::exchange(out, {}); }

  // Time.
  void wake(Nanos now) {
    const Nanos gap = tickAt == 0 ? 0 : now - tickAt;
    if (gap > kStill) {
      parents.stoodStill(gap, now);
      children.stoodStill(gap);
      if (fetch) fetch->stoodStill(gap, now);
      progressAt = std::min(now, progressAt + gap);
      // A voter that stood still for most of an election's time may have lost its leader, or the lead, and
      // learns of it within that time: the one after which news are stale.
      if (!s.votes)
        doubtUntil = now + kDoubt;
      else if (gap > s.staleAfter / 2)
        doubtUntil = now + std::max(kDoubt, s.staleAfter);
      tickAt = now;
    }
  }
  Nanos age(Nanos now) const { return vouched ? std::max<Nanos>(0, now - vouchedAt) : kNeverVouched; }
  bool isVoter(const std::string& name) const {
    return std::find(s.voters.begin(), s.voters.end(), name) != s.voters.end();
  }
  bool fresh(Nanos now) const { return age(now) <= s.staleAfter; }
  bool contradicted(Nanos now) const {
    return contradictedSince != 0 && now - contradictedSince > kContradicted;
  }
  void vouch(Nanos at) {
    vouchedAt = vouched ? std::max(vouchedAt, at) : at;
    vouched = true;
  }
  // The latest word of the parent is of the state that is here now.
  void settleVouch() {
    if (!word_ || word_->mark != replica.mark() || word_->number != replica.position().number) return;
    vouch(word_->at);
    word_.reset();
    behindSince = 0;
  }

  // Down.
  Nanos interval() const {
    const double bytes = static_cast<double>(children.all().size() * (kBeatBytes + s.frameBytes));
    return std::max(s.beatEvery, static_cast<Nanos>(bytes / (kBeatShare * s.bytesPerSecond) * 1e9));
  }
  // The next one is sent by then at the latest: a parent's beat is waited for where it comes a little later
  // than the own time.
  Nanos due() const {
    const Nanos own = interval();
    return s.votes ? own : std::max(own, std::min(parentEvery, 2 * own)) * 5 / 4;
  }
  std::string beatBytes(Nanos now) const {
    Beat beat;
    beat.number = replica.position().number, beat.mark = replica.mark();
    const Nanos old = age(now);
    if (old >= kNeverVouched)
      beat.age = Beat::kNever;
    else
      beat.age = static_cast<std::uint32_t>(std::min<Nanos>(old / kAgeUnit + 1, Beat::kNever - 1));
    beat.every = static_cast<std::uint16_t>(std::min<Nanos>(due() / kAgeUnit, 0xffff));
    return write(beat);
  }
  void beatAll(Nanos now) {
    roundAt = now;
    const auto bytes = beatBytes(now);
    for (const auto& [name, child] : children.all()) word(name, bytes, now);
  }
  // What follows on `from` up to `to` at most, as one message; false: the budget has to be waited for.
  bool sendChanges(const std::string& name, std::uint64_t& from, std::uint64_t to, Nanos now) {
    Changes changes;
    changes.from = from;
    std::size_t bytes = 0;
    std::uint64_t at = from;
    while (at < to) {
      const auto& command = replica.commandAt(at + 1);
      if (!changes.commands.empty() && bytes + command.size() > kBatchBytes) break;
      bytes += command.size() + 3;
      changes.commands.push_back(command);
      ++at;
    }
    changes.digest = replica.digestAt(at);
    if (!send(name, write(changes), Urgency::change, now)) return false;
    from = at;
    return true;
  }
  void push(const std::string& name, Child& child, Nanos now) {
    while (child.onLog && child.sent < replica.position().number) {
      if (child.sent < replica.base()) {
        child.onLog = child.waits = false;
        return;
      }
      if (!sendChanges(name, child.sent, replica.position().number, now)) {
        counters.deferred += !child.waits;
        child.waits = waiting = true;
        return;
      }
      child.sentAt = now;
    }
    child.waits = false;
  }
  void pushAll(Nanos now) {
    auto& all = children.all();
    if (all.empty()) return;
    auto at = std::next(all.begin(), static_cast<std::ptrdiff_t>(turn++ % all.size()));  // each is first once
    waiting = false;
    for (std::size_t i = 0; i < all.size(); ++i) {
      push(at->first, at->second, now);
      waiting = waiting || at->second.waits;
      if (++at == all.end()) at = all.begin();
    }
  }
  // The log's rest costs more than a snapshot and what follows it.
  bool snapshotIsLess(const Child& child) const {
    const auto* frozen = replica.latestFrozen();
    const auto rest = replica.tailBytesFrom(child.sent);
    return rest > kLogWorth && frozen && frozen->at > child.counts.at &&
           frozen->at.number >= replica.base() &&
           frozen->bytes.size() + replica.tailBytesFrom(frozen->at.number) < rest;
  }
  void offer(const std::string& name, Child& child, Nanos now) {
    if (child.offeredAt != 0 && now - child.offeredAt < kAskGap) return;
    const auto* frozen = replica.frozenBeyond(child.counts.at, now);
    if (!frozen) return;
    child.offeredAt = now;
    answer(name,
           write(Offer{frozen->at.generation, frozen->at.number, frozen->digest, frozen->hash,
                       frozen->bytes.size()}),
           now);
  }
  // Where the child is in this one's history, and what it gets from there.
  void settle(const std::string& name, Child& child, std::uint8_t flags, Nanos now) {
    const auto& at = child.counts.at;
    child.onLog = replica.onTail(at.number, child.digest) && !(flags & Report::kDiverged);
    child.sent = at.number;
    child.sentAt = 0;
    if (child.onLog && snapshotIsLess(child)) child.onLog = false;
    if (child.onLog) return push(name, child, now);
    const bool same = at == replica.position() && child.digest == replica.digest();
    const auto own = replica.position().generation;
    const bool unknown = (flags & Report::kContradicted) && own > 0 && at.generation > own && fresh(now);
    if ((at <= replica.position() || unknown) && !same) offer(name, child, now);
  }
  void onReport(const std::string& from, const Report& r, Nanos now) {
    if (isVoter(from)) return void(++counters.repeated);
    if (r.flags & Report::kLook) {
      const bool takes =
          children.find(from) || (children.hasRoom(tree, s.fanOut) && from != parents.parent());
      return answer(from, takes ? beatBytes(now) : writeBare(Kind::refuse), now);
    }
    auto* child = children.find(from);
    const bool fresh = !child;
    if (fresh) {
      std::string turnedAway;
      const bool loop = !from.empty() && from == parents.parent();
      const auto admitted = loop
                                ? Children::Admission::refused
                                : children.admit(from, r.flags & Report::kUrgent, tree, s.fanOut, turnedAway);
      if (admitted != Children::Admission::taken) ++counters.turnedAway;
      if (admitted == Children::Admission::refused) return answer(from, writeBare(Kind::refuse), now);
      if (admitted == Children::Admission::instead) word(turnedAway, writeBare(Kind::refuse), now);
      child = children.find(from);
    }
    child->counts = Counts::of(r, now);
    child->digest = r.digest;
    dirty = true;
    if (r.flags & Report::kSubscribe) word(from, beatBytes(now), now);
    const bool lost = r.number < child->sent && now - child->sentAt > kResend;
    if (!fresh && child->onLog && replica.onTail(r.number, r.digest) && r.number < child->sent &&
        !(r.flags & Report::kDiverged)) {
      std::uint64_t at = r.number;
      if ((r.flags & Report::kMissing) && r.early > at && r.early <= child->sent) {  // a hole
        while (at < r.early && sendChanges(from, at, r.early, now)) {
        }
        if (at < r.early) ++counters.deferred;  // it asks again
        return;
      }
      if (now - child->sentAt < kInFlight) return;  // on its way, for all that is known
    }
    const bool waits = !child->onLog && now - child->offeredAt > Children::kRenew;
    if (fresh || (r.flags & (Report::kSubscribe | Report::kMissing)) || waits || lost ||
        r.number > child->sent)
      settle(from, *child, r.flags, now);
  }
  void onAsk(const std::string& from, const Ask& ask, Nanos now) {
    if (ask.pieceBytes < 64 || ask.pieceBytes > Ask::kMostPiece || ask.count == 0 ||
        ask.count > Ask::kMostCount) {
      ++counters.broken;
      return;
    }
    const auto* frozen = replica.frozen(ask.number, ask.hash, now);
    if (!frozen) return answer(from, write(Nothing{ask.hash, false}), now);
    // With little left one after the other is served: who has the whole of it hands it on.
    if (budget.low(now) && served != from && now < servedUntil) {
      ++counters.deferred;
      return answer(from, write(Nothing{ask.hash, true}), now);
    }
    served = from, servedUntil = now + kServed;
    for (std::uint64_t i = ask.first; i < std::uint64_t{ask.first} + ask.count; ++i) {
      const std::uint64_t at = i * ask.pieceBytes;
      if (at >= frozen->bytes.size()) return;
      const Piece piece{ask.number, ask.hash, static_cast<std::uint32_t>(i),
                        frozen->bytes.substr(at, ask.pieceBytes)};
      if (send(from, write(piece), Urgency::piece, now)) continue;
      ++counters.deferred;
      return answer(from, write(Nothing{ask.hash, true}), now);
    }
  }

  // Up.
  Report report(std::uint8_t flags) const {
    const auto below = inForce();
    Report r;
    r.flags = flags;
    r.generation = replica.position().generation, r.number = replica.position().number;
    r.digest = replica.digest();
    r.early = early.empty() ? 0 : early.begin()->first;
    r.members = below.members, r.level = below.level;
    r.lowGeneration = below.low.generation, r.lowNumber = below.low.number;
    for (const auto& slow : below.slowest)
      r.slowest.emplace_back(slow.name, slow.at.generation, slow.at.number);
    return r;
  }
  bool sendReport(const std::string& to, std::uint8_t flags, Nanos now, Kind kind = Kind::report) {
    if (mistrusts) flags |= Report::kDiverged;
    if (contradicted(now)) flags |= Report::kContradicted;
    if (!send(to, write(report(flags), kind), Urgency::word, now)) {
      ++counters.deferred;
      return false;
    }
    return true;
  }
  void reportIfDue(Nanos now) {
    const Nanos since = now - reportedAt;
    if (reportedAt != 0 && since < (dirty ? kReportGap : Children::kRenew)) return;
    const bool toLeader = s.votes && !leader.empty() && leader != s.self;
    if (!toLeader && (s.votes || parents.parent().empty())) return;
    reportedAt = now;
    if (sendReport(toLeader ? leader : parents.parent(), 0, now, toLeader ? Kind::counts : Kind::report))
      dirty = false;
  }
  void missing(Nanos now) {
    if (parents.parent().empty() || (askedAt != 0 && now - askedAt < kAskGap)) return;
    if (sendReport(parents.parent(), Report::kMissing, now)) askedAt = reportedAt = now;
  }
  void act(const Parents::Words& words, Nanos now) {
    using Word = Parents::Word::Kind;
    for (const auto& w : words) {
      if (w.kind == Word::bye)
        word(w.to, writeBare(Kind::bye), now);
      else if (w.kind == Word::look)
        sendReport(w.to, Report::kLook, now);
      else if (w.kind == Word::ask)
        sendReport(w.to, Report::kSubscribe, now);
      else
        sendReport(w.to,
                   static_cast<std::uint8_t>(Report::kSubscribe | Report::kMissing |
                                             (w.kind == Word::urgent ? Report::kUrgent : 0)),
                   now);
    }
    if (parents.parent() != parentBefore) {
      parentBefore = parents.parent();
      word_.reset();
      early.clear();
      mistrusts = false;  // what the former one said of this one's register is not this one's word
      behindSince = 0, parentNumber = 0;
      reportedAt = now;  // it has said all with its subscription
      dirty = true;
    }
  }
  // True: `from` is the parent, or has just become it.
  bool ofParent(const std::string& from, Nanos now) {
    Parents::Words words;
    const bool is = parents.heard(from, now, words);
    act(words, now);
    return is;
  }
  // A word of one that takes this one for its child.
  void stranger(const std::string& from, Nanos now) {
    ++counters.repeated;
    answer(from, writeBare(Kind::bye), now);
  }
  void onBeat(const std::string& from, const Beat& b, Nanos now) {
    const bool doubted = now < doubtUntil;
    const Nanos old = b.age == Beat::kNever || doubted ? kNeverVouched : Nanos{b.age} * kAgeUnit + kOnTheWay;
    const bool looked = parents.lookedAt(from);
    Parents::Words words;
    const bool is = parents.beat(from, old, Nanos{b.every} * kAgeUnit, now, words);
    act(words, now);
    if (!is) {
      if (!looked) stranger(from, now);
      return;
    }
    parentNumber = b.number;
    parentEvery = Nanos{b.every} * kAgeUnit;
    const bool level = b.mark == replica.mark() && b.number == replica.position().number;
    if (level) {
      behindSince = 0;
      slowAfter = kSlow;
    } else if (behindSince == 0) {
      behindSince = progressAt = now;
    }
    if (level || old > s.staleAfter)
      contradictedSince = 0;
    else if (contradictedSince == 0)
      contradictedSince = now;
    if (old < kNeverVouched) {
      word_ = Vouch{b.number, b.mark, now - old};
      settleVouch();
    }
    if (now - roundAt >= interval() * 4 / 5) beatAll(now);
  }
  void onChanges(const std::string& from, const Changes& c, Nanos now) {
    if (!ofParent(from, now)) return stranger(from, now);
    if (c.from > replica.position().number) {
      if (behindSince == 0) behindSince = progressAt = now;
      if (early.size() >= kMostEarly || !early.try_emplace(c.from, c).second) ++counters.repeated;
      return;
    }
    bool advances = take(c, now);
    while (advances && !early.empty() && early.begin()->first <= replica.position().number) {
      const auto next = std::move(early.extract(early.begin()).mapped());
      if (next.from + next.commands.size() > replica.position().number) take(next, now);
    }
    if (advances) advanced(now);
  }
  // Changes that go on from here, or from before.
  bool take(const Changes& c, Nanos now) {
    const auto number = replica.position().number;
    if (c.from + c.commands.size() <= number) {
      ++counters.repeated;
      return false;
    }
    std::vector<agreement::Command> commands;
    for (auto i = static_cast<std::size_t>(number - c.from); i < c.commands.size(); ++i) {
      auto command = agreement::readCommand(c.commands[i]);
      if (!command) {
        ++counters.broken;
        return false;
      }
      commands.push_back(std::move(*command));
    }
    if (!replica.apply(commands, c.digest)) {
      ++counters.diverged;
      mistrusts = true;
      early.clear();
      missing(now);
      return false;
    }
    counters.changesApplied += commands.size();
    mistrusts = false;
    return true;
  }
  void advanced(Nanos now) {
    progressAt = now;
    contradictedSince = 0;
    dirty = true;
    settleVouch();
    if (fetch && replica.position() >= Position{fetch->offer().generation, fetch->offer().number})
      fetch.reset();
    pushAll(now);
    reportIfDue(now);
  }
  bool wants(const Offer& o, Nanos now) const {
    const Position at{o.generation, o.number};
    if (o.generation > 0 && o.generation < replica.position().generation) return contradicted(now);
    return at > replica.position() || (at == replica.position() && o.digest != replica.digest());
  }
  void onOffer(const std::string& from, const Offer& o, Nanos now) {
    if (!ofParent(from, now)) return stranger(from, now);
    if (o.size == 0 || o.size > s.mostSnapshot) {
      ++counters.broken;
      return;
    }
    if (!wants(o, now)) {
      ++counters.repeated;
      return;
    }
    if (fetch && fetch->offer().hash == o.hash) return fetch->hasIt(from);
    if (fetch && !fetch->stuck(now)) return;
    std::vector<std::string> sources{from};
    sources.insert(sources.end(), tree.sources.begin(), tree.sources.end());
    sources.insert(sources.end(), tree.candidates.begin(), tree.candidates.end());
    fetch.emplace(o, std::max<std::size_t>(s.pieceBytes, 64), sources, now);
    askPieces(now);
  }
  void askPieces(Nanos now) {
    if (!fetch) return;
    for (const auto& question : fetch->tick(now)) word(question.to, write(question.ask), now);
  }
  void onPiece(const std::string& from, Piece piece, Nanos now) {
    if (!fetch || !fetch->take(from, std::move(piece), now)) {
      ++counters.repeated;
      return;
    }
    progressAt = now;
    if (!fetch->whole()) return askPieces(now);
    const Offer o = fetch->offer();
    auto bytes = fetch->bytes();
    fetch.reset();
    if (!wants(o, now)) return;
    if (Replica::hashOf(bytes) != o.hash ||
        !replica.restore(std::move(bytes), {o.generation, o.number}, o.hash)) {
      ++counters.broken;
      return missing(now);
    }
    ++counters.snapshotsTaken;
    replaced(now);
  }
  // By a snapshot or a voter's whole register, at once.
  void replaced(Nanos now) {
    mistrusts = false;
    for (auto& [name, child] : children.all()) child.onLog = false;  // each is looked at anew as it reports
    early.clear();
    askedAt = 0;
    advanced(now);
    missing(now);
    beatAll(now);
  }
  void adopt(const agreement::Register& whole, Nanos now) {
    if (s.votes || positionOf(whole) <= replica.position()) return;
    wake(now);
    replica.replace(whole);
    replaced(now);
  }
  void fetchTick(Nanos now) {
    if (!fetch) return;
    if (fetch->givenUp(now)) {
      const bool hasIt = fetch->answeredBy(parents.parent());
      fetch.reset();
      return hasIt ? missing(now) : leaveSlow(now);  // else it offers what nobody has, itself included
    }
    askPieces(now);
  }
  void behindTick(Nanos now) {
    if (behindSince == 0 || parents.parent().empty()) return;
    const bool ahead = parentNumber > replica.position().number;
    const Nanos wait = ahead ? kReorder : 3 * kReorder, gap = ahead ? kAskGap : kOddGap;
    // Not as long as changes come in: what is on its way is not asked for.
    if (now - std::max(behindSince, progressAt) >= wait && now - askedAt >= gap && !fetch) missing(now);
    if (!ahead || fetch || now - progressAt < slowAfter) return;
    slowAfter = std::min(kMostSlow, 2 * slowAfter);
    leaveSlow(now);
  }
  void leaveSlow(Nanos now) {
    progressAt = now;
    Parents::Words words;
    parents.leave(now, words, Parents::kAvoided / 2);
    act(words, now);
  }

  void plan(Nanos now) {
    if (!view || (treeAt != 0 && now - treeAt < s.beatEvery)) return;
    treeAt = now;
    tree = Tree::of(s, std::move(*view));
    view.reset();
    if (!s.votes) parents.plan(tree, now);
    if (fetch) fetch->mayHaveIt(tree.sources);
  }
  InForce inForce() const {
    static const std::map<std::string, Counts> kNone;
    return sum(replica.position(), children, s.votes && leader == s.self ? voterCounts : kNone);
  }

  void tick(Nanos now) {
    wake(now);
    tickAt = now;
    if (s.voters.empty()) return;
    plan(now);
    if (now >= forgetAt) {
      forgetAt = now + kForgetEvery;
      if (children.forget(now)) dirty = true;
      std::erase_if(voterCounts,
                    [&](const auto& c) { return now - c.second.reportedAt > Children::kForgotten; });
    }
    if (s.votes) {
      if (led && now >= doubtUntil) vouch(now);
    } else {
      act(parents.tick(now), now);
      behindTick(now);
      fetchTick(now);
    }
    if (waiting) pushAll(now);
    if (now - roundAt >= due() - 20 * kMs) beatAll(now);
    reportIfDue(now);
  }
  void received(const std::string& from, std::string_view bytes, Nanos now) {
    wake(now);
    if (s.voters.empty()) return;
    ++counters.received;
    counters.receivedBytes += bytes.size() + s.frameBytes;
    const auto kind = kindOf(bytes);
    if (!kind || from.empty() || from == s.self || !read(from, *kind, bytes, now)) ++counters.broken;
  }
  bool read(const std::string& from, Kind kind, std::string_view bytes, Nanos now) {
    const bool down = kind == Kind::beat || kind == Kind::changes || kind == Kind::refuse ||
                      kind == Kind::offer || kind == Kind::piece || kind == Kind::nothing;
    if (down && s.votes) {  // a voter is nobody's child
      ++counters.repeated;
      return true;
    }
    switch (kind) {
      case Kind::beat:
        if (const auto m = readBeat(bytes)) return onBeat(from, *m, now), true;
        return false;
      case Kind::changes:
        if (const auto m = readChanges(bytes)) return onChanges(from, *m, now), true;
        return false;
      case Kind::report:
        if (const auto m = readReport(bytes)) return onReport(from, *m, now), true;
        return false;
      case Kind::refuse: {
        Parents::Words words;
        parents.refused(from, now, words);
        act(words, now);
        return true;
      }
      case Kind::offer:
        if (const auto m = readOffer(bytes)) return onOffer(from, *m, now), true;
        return false;
      case Kind::ask:
        if (const auto m = readAsk(bytes)) return onAsk(from, *m, now), true;
        return false;
      case Kind::piece:
        if (auto m = readPiece(bytes)) return onPiece(from, std::move(*m), now), true;
        return false;
      case Kind::nothing:
        if (const auto m = readNothing(bytes)) {
          if (fetch && fetch->offer().hash == m->hash)
            fetch->nothing(from, m->busy, now);
          else
            ++counters.repeated;
          return true;
        }
        return false;
      case Kind::bye:
        if (!children.find(from)) return ++counters.repeated, true;
        dirty = true;
        children.remove(from);
        return true;
      case Kind::counts:
        if (const auto m = readReport(bytes)) {
          if (s.votes && isVoter(from))
            voterCounts[from] = Counts::of(*m, now);
          else
            ++counters.repeated;
          return true;
        }
        return false;
    }
    return false;
  }
  void agreed(const agreement::Register& held, const std::vector<agreement::Command>& applied,
              const std::string& leaderNow, Nanos now) {
    wake(now);
    if (!s.votes) return;
    leader = leaderNow;
    led = !leader.empty();
    if (led && now >= doubtUntil) vouch(now);
    const auto before = replica.position();
    const bool connects = before.number + applied.size() == held.commands();
    if (connects && !applied.empty()) {
      replica.apply(applied, std::nullopt);
      counters.changesApplied += applied.size();
    }
    if (!connects || replica.held().all().size() != held.all().size()) {
      replica.replace(held);
      for (auto& [name, child] : children.all()) child.onLog = false;
    }
    if (replica.position() == before) return;
    dirty = true;
    pushAll(now);
  }

  Settings s;
  Replica replica;
  Budget budget;
  Parents parents;
  Children children;
  Tree tree;
  Counters counters;
  std::optional<Fetch> fetch;
  std::optional<std::vector<Peer>> view;      // not planned by yet
  std::map<std::uint64_t, Changes> early;     // by the number before them; they wait for what is missing
  std::map<std::string, Counts> voterCounts;  // of the others, for the leader
  std::vector<Out> out;
  std::string leader, parentBefore;
  std::string served;  // with pieces, as long as it asks on
  Nanos servedUntil = 0, forgetAt = 0;
  bool waiting = false;  // some child's changes, for the budget
  bool led = false, vouched = false, mistrusts = false, dirty = true;
  std::optional<Vouch> word_;  // the parent's latest, as long as this one is not where it was
  Nanos vouchedAt = 0, tickAt = 0, treeAt = 0, roundAt = 0, doubtUntil = 0;
  Nanos parentEvery = 0, behindSince = 0, progressAt = 0, slowAfter = kSlow, contradictedSince = 0,
        askedAt = 0, reportedAt = 0;
  std::uint64_t parentNumber = 0;
  std::size_t turn = 0;
};

Disseminator::Disseminator(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {
  impl_->view.emplace();
}
Disseminator::~Disseminator() = default;

std::vector<Out> Disseminator::agreed(const agreement::Register& held,
                                      const std::vector<agreement::Command>& applied,
                                      const std::string& leader, Nanos now) {
  impl_->agreed(held, applied, leader, now);
  return impl_->sent();
}
std::vector<Out> Disseminator::adopt(const agreement::Register& whole, Nanos now) {
  impl_->adopt(whole, now);
  return impl_->sent();
}
void Disseminator::sees(std::vector<Peer> view) { impl_->view = std::move(view); }
std::vector<Out> Disseminator::tick(Nanos now) {
  impl_->tick(now);
  return impl_->sent();
}
std::vector<Out> Disseminator::received(const std::string& from, std::string_view bytes, Nanos now) {
  impl_->received(from, bytes, now);
  return impl_->sent();
}
const agreement::Register& Disseminator::held() const { return impl_->replica.held(); }
Position Disseminator::position() const { return impl_->replica.position(); }
Nanos Disseminator::age(Nanos now) const { return impl_->vouched ? impl_->age(now) : -1; }
const std::string& Disseminator::parent() const { return impl_->parents.parent(); }
std::size_t Disseminator::children() const { return impl_->children.all().size(); }
InForce Disseminator::inForce() const { return impl_->inForce(); }
const Counters& Disseminator::counters() const {
  impl_->counters.parentsLeft = impl_->parents.left();
  return impl_->counters;
}

}  // namespace topazweir::dissemination

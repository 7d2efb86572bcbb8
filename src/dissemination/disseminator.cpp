// Combines the parts of a member: the replica, the tree, the parent, the children and at most one snapshot
// download. Changes that are held back by the budget are not queued: each child's position in the log
// determines what is still to be sent to it.
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

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;
constexpr std::size_t kBatchBytes = 1100;    // changes per message, so that it fits into a datagram
constexpr std::size_t kHeartbeatBytes = 22;  // header included
constexpr double kHeartbeatShare = 0.6;      // of the mean send rate
constexpr std::size_t kMinLogForSnapshotBytes = 64 * 1024;  // a shorter log is sent instead of a snapshot
constexpr Nanos kMinReportIntervalNs = 500 * kMs;           // between two unsolicited reports
constexpr Nanos kResendTimeoutNs = 500 * kMs;  // sent changes not acknowledged by a report within it are lost
constexpr Nanos kInFlightNs = 250 * kMs;       // within it, sent changes may not show in a report yet
constexpr Nanos kReorderNs = 100 * kMs;        // tolerated reordering of messages
constexpr std::size_t kMaxOutOfOrder = 64;     // buffered messages of changes
constexpr Nanos kRequestIntervalNs = 250 * kMs;  // between requests for changes, or offers to a child
constexpr Nanos kDivergedRequestIntervalNs = 1000 * kMs;  // the same, while the parent is not ahead by number
constexpr Nanos kSlowParentTimeoutNs = 2 * kSec;      // behind without progress: the parent counts as slow
constexpr Nanos kMaxSlowParentTimeoutNs = 16 * kSec;  // the timeout doubles with each slow parent
// With a low budget, pieces are sent to one requester at a time, for this long after its last request.
constexpr Nanos kPieceServiceNs = 1500 * kMs;
// A generation later than that of all fresh state is not known to the voters (it may have been begun by a
// clock that was ahead). A member in such a generation gives it up after fresh heartbeats have contradicted
// it for this long.
constexpr Nanos kContradictedTimeoutNs = 30 * kSec;
constexpr Nanos kExpiryCheckIntervalNs = 500 * kMs;
constexpr Nanos kStallThresholdNs = 500 * kMs;  // a longer gap between two ticks counts as a stall
// Assumed upper bound of a message's transit time, added to each announced age. Without it, state that
// circulates between two members that have each other as parents would never age.
constexpr Nanos kMaxTransitNs = 100 * kMs;
// After a stall, received messages may be older than kMaxTransitNs; for so long they do not confirm
// freshness.
constexpr Nanos kDistrustAfterStallNs = 500 * kMs;

// The parent's announcement that its state at `number` and `mark` was current at the time `at`.
struct Freshness {
  std::uint64_t number = 0;
  std::uint32_t mark = 0;
  Nanos at = 0;
};

}  // namespace

struct Disseminator::Impl {
  explicit Impl(Settings given)
      : settings(std::move(given)),
        replica(
            {settings.tailChanges, settings.tailBytes, std::max<std::uint64_t>(settings.snapshotEvery, 1)}),
        budget(settings.bytesPerSecond, settings.burstBytes),
        parents(settings.heartbeatTimeout, settings.staleAfter, settings.seed) {}

  // ---- Output.
  bool send(const std::string& to, std::string bytes, Urgency urgency, Nanos now) {
    if (!budget.spend(bytes.size() + settings.frameBytes, urgency, now)) return false;
    ++counters.sent;
    counters.sentBytes += bytes.size() + settings.frameBytes;
    out.push_back({to, std::move(bytes)});
    return true;
  }
  void sendControl(const std::string& to, std::string bytes, Nanos now) {
    if (!send(to, std::move(bytes), Urgency::control, now)) ++counters.deferred;
  }
  void sendReply(const std::string& to, std::string bytes, Nanos now) {
    if (!send(to, std::move(bytes), Urgency::reply, now)) ++counters.deferred;
  }
  std::vector<Out> takeOutput() { return std::exchange(out, {}); }

  // ---- Time and freshness.
  void detectStall(Nanos now) {
    const Nanos gap = tickAt == 0 ? 0 : now - tickAt;
    if (gap > kStallThresholdNs) {
      parents.onStall(gap, now);
      children.onStall(gap);
      if (fetch) fetch->onStall(gap, now);
      progressAt = std::min(now, progressAt + gap);
      // A voter that was stalled for about an election timeout may have lost its leader, or its leadership,
      // and learns of it within that time, which staleAfter covers.
      if (!settings.votes)
        distrustUntil = now + kDistrustAfterStallNs;
      else if (gap > settings.staleAfter / 2)
        distrustUntil = now + std::max(kDistrustAfterStallNs, settings.staleAfter);
      tickAt = now;
    }
  }
  Nanos age(Nanos now) const {
    return everConfirmed ? std::max<Nanos>(0, now - confirmedAt) : kNeverConfirmedNs;
  }
  bool isVoter(const std::string& name) const {
    return std::find(settings.voters.begin(), settings.voters.end(), name) != settings.voters.end();
  }
  bool fresh(Nanos now) const { return age(now) <= settings.staleAfter; }
  bool contradicted(Nanos now) const {
    return contradictedSince != 0 && now - contradictedSince > kContradictedTimeoutNs;
  }
  void confirmFreshness(Nanos at) {
    confirmedAt = everConfirmed ? std::max(confirmedAt, at) : at;
    everConfirmed = true;
  }
  // Counts the parent's latest announcement once the replica has reached the announced state.
  void applyAnnouncedFreshness() {
    if (!announcedFreshness || announcedFreshness->mark != replica.mark() ||
        announcedFreshness->number != replica.position().number)
      return;
    confirmFreshness(announcedFreshness->at);
    announcedFreshness.reset();
    behindSince = 0;
  }

  // ---- To the children.
  Nanos heartbeatInterval() const {
    const double bytes = static_cast<double>(children.all().size() * (kHeartbeatBytes + settings.frameBytes));
    return std::max(settings.beatEvery,
                    static_cast<Nanos>(bytes / (kHeartbeatShare * settings.bytesPerSecond) * 1e9));
  }
  // The longest time between two rounds of heartbeats. A member that is no voter waits a little beyond its
  // own interval for its parent's heartbeat, so as to pass that on at once.
  Nanos maxHeartbeatInterval() const {
    const Nanos own = heartbeatInterval();
    return settings.votes ? own : std::max(own, std::min(parentInterval, 2 * own)) * 5 / 4;
  }
  std::string encodeHeartbeat(Nanos now) const {
    Heartbeat heartbeat;
    heartbeat.number = replica.position().number;
    heartbeat.mark = replica.mark();
    const Nanos stateAge = age(now);
    if (stateAge >= kNeverConfirmedNs)
      heartbeat.age = Heartbeat::kNever;
    else
      heartbeat.age =
          static_cast<std::uint32_t>(std::min<Nanos>(stateAge / kAgeUnitNs + 1, Heartbeat::kNever - 1));
    heartbeat.every =
        static_cast<std::uint16_t>(std::min<Nanos>(maxHeartbeatInterval() / kAgeUnitNs, 0xffff));
    return write(heartbeat);
  }
  void sendHeartbeats(Nanos now) {
    heartbeatsAt = now;
    const auto bytes = encodeHeartbeat(now);
    for (const auto& [name, child] : children.all()) sendControl(name, bytes, now);
  }
  // Sends one message with the changes after `from`, up to `to` at most, and advances `from`; false: the
  // budget does not allow it now.
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
  void sendPending(const std::string& name, Child& child, Nanos now) {
    while (child.onLog && child.sent < replica.position().number) {
      if (child.sent < replica.base()) {
        child.onLog = child.waitsForBudget = false;
        return;
      }
      if (!sendChanges(name, child.sent, replica.position().number, now)) {
        counters.deferred += !child.waitsForBudget;
        child.waitsForBudget = childWaiting = true;
        return;
      }
      child.sentAt = now;
    }
    child.waitsForBudget = false;
  }
  void sendPendingToAll(Nanos now) {
    auto& all = children.all();
    if (all.empty()) return;
    // Starts with another child each time, so that the budget is shared fairly.
    auto at = std::next(all.begin(), static_cast<std::ptrdiff_t>(nextFirstChild++ % all.size()));
    childWaiting = false;
    for (std::size_t i = 0; i < all.size(); ++i) {
      sendPending(at->first, at->second, now);
      childWaiting = childWaiting || at->second.waitsForBudget;
      if (++at == all.end()) at = all.begin();
    }
  }
  // Whether the rest of the log is larger than the latest snapshot and the changes after it.
  bool snapshotIsSmaller(const Child& child) const {
    const auto* snapshot = replica.latestSnapshot();
    const auto rest = replica.tailBytesFrom(child.sent);
    return rest > kMinLogForSnapshotBytes && snapshot && snapshot->at > child.counts.at &&
           snapshot->at.number >= replica.base() &&
           snapshot->bytes.size() + replica.tailBytesFrom(snapshot->at.number) < rest;
  }
  void offer(const std::string& name, Child& child, Nanos now) {
    if (child.offeredAt != 0 && now - child.offeredAt < kRequestIntervalNs) return;
    const auto* snapshot = replica.snapshotBeyond(child.counts.at, now);
    if (!snapshot) return;
    child.offeredAt = now;
    sendReply(name,
              write(Offer{snapshot->at.generation, snapshot->at.number, snapshot->digest, snapshot->hash,
                          snapshot->bytes.size()}),
              now);
  }
  // Determines from the child's report whether it continues on the log or needs a snapshot, and sends that.
  void resume(const std::string& name, Child& child, std::uint8_t flags, Nanos now) {
    const auto& at = child.counts.at;
    child.onLog = replica.onTail(at.number, child.digest) && !(flags & Report::kDiverged);
    child.sent = at.number;
    child.sentAt = 0;
    if (child.onLog && snapshotIsSmaller(child)) child.onLog = false;
    if (child.onLog) return sendPending(name, child, now);
    const bool same = at == replica.position() && child.digest == replica.digest();
    const auto own = replica.position().generation;
    const bool unknownGeneration =
        (flags & Report::kContradicted) && own > 0 && at.generation > own && fresh(now);
    if ((at <= replica.position() || unknownGeneration) && !same) offer(name, child, now);
  }
  void onReport(const std::string& from, const Report& r, Nanos now) {
    if (isVoter(from)) return void(++counters.repeated);
    if (r.flags & Report::kProbe) {
      const bool admits =
          children.find(from) || (children.hasRoom(tree, settings.fanOut) && from != parents.parent());
      return sendReply(from, admits ? encodeHeartbeat(now) : writeBare(Kind::refuse), now);
    }
    auto* child = children.find(from);
    const bool isNew = !child;
    if (isNew) {
      std::string replacedChild;
      const bool loop = !from.empty() && from == parents.parent();
      const auto admitted =
          loop ? Children::Admission::refused
               : children.admit(from, r.flags & Report::kUrgent, tree, settings.fanOut, replacedChild);
      if (admitted != Children::Admission::admitted) ++counters.turnedAway;
      if (admitted == Children::Admission::refused) return sendReply(from, writeBare(Kind::refuse), now);
      if (admitted == Children::Admission::replaced) sendControl(replacedChild, writeBare(Kind::refuse), now);
      child = children.find(from);
    }
    child->counts = Counts::of(r, now);
    child->digest = r.digest;
    reportOutdated = true;
    if (r.flags & Report::kSubscribe) sendControl(from, encodeHeartbeat(now), now);
    const bool lost = r.number < child->sent && now - child->sentAt > kResendTimeoutNs;
    if (!isNew && child->onLog && replica.onTail(r.number, r.digest) && r.number < child->sent &&
        !(r.flags & Report::kDiverged)) {
      std::uint64_t at = r.number;
      // A gap before changes that the child has buffered: only the gap is sent again.
      if ((r.flags & Report::kMissing) && r.firstOutOfOrder > at && r.firstOutOfOrder <= child->sent) {
        while (at < r.firstOutOfOrder && sendChanges(from, at, r.firstOutOfOrder, now)) {
        }
        if (at < r.firstOutOfOrder) ++counters.deferred;  // the child requests it again
        return;
      }
      if (now - child->sentAt < kInFlightNs) return;  // may still be in flight
    }
    const bool needsOffer = !child->onLog && now - child->offeredAt > Children::kRenewalIntervalNs;
    if (isNew || (r.flags & (Report::kSubscribe | Report::kMissing)) || needsOffer || lost ||
        r.number > child->sent)
      resume(from, *child, r.flags, now);
  }
  void onPieceRequest(const std::string& from, const PieceRequest& request, Nanos now) {
    if (request.pieceBytes < 64 || request.pieceBytes > PieceRequest::kMaxPieceBytes || request.count == 0 ||
        request.count > PieceRequest::kMaxCount) {
      ++counters.broken;
      return;
    }
    const auto* snapshot = replica.findSnapshot(request.number, request.hash, now);
    if (!snapshot) return sendReply(from, write(Unavailable{request.hash, false}), now);
    // With little budget left, requesters are served one after the other, since the first to complete the
    // snapshot can pass it on.
    if (budget.low(now) && servedRequester != from && now < servedUntil) {
      ++counters.deferred;
      return sendReply(from, write(Unavailable{request.hash, true}), now);
    }
    servedRequester = from;
    servedUntil = now + kPieceServiceNs;
    for (std::uint64_t i = request.first; i < std::uint64_t{request.first} + request.count; ++i) {
      const std::uint64_t at = i * request.pieceBytes;
      if (at >= snapshot->bytes.size()) return;
      const Piece piece{request.number, request.hash, static_cast<std::uint32_t>(i),
                        snapshot->bytes.substr(at, request.pieceBytes)};
      if (send(from, write(piece), Urgency::piece, now)) continue;
      ++counters.deferred;
      return sendReply(from, write(Unavailable{request.hash, true}), now);
    }
  }

  // ---- From and to the parent.
  Report report(std::uint8_t flags) const {
    const auto below = inForce();
    Report r;
    r.flags = flags;
    r.generation = replica.position().generation;
    r.number = replica.position().number;
    r.digest = replica.digest();
    r.firstOutOfOrder = outOfOrder.empty() ? 0 : outOfOrder.begin()->first;
    r.members = below.members;
    r.level = below.level;
    r.lowGeneration = below.low.generation;
    r.lowNumber = below.low.number;
    for (const auto& slow : below.slowest)
      r.slowest.emplace_back(slow.name, slow.at.generation, slow.at.number);
    return r;
  }
  bool sendReport(const std::string& to, std::uint8_t flags, Nanos now, Kind kind = Kind::report) {
    if (registerDiverged) flags |= Report::kDiverged;
    if (contradicted(now)) flags |= Report::kContradicted;
    if (!send(to, write(report(flags), kind), Urgency::control, now)) {
      ++counters.deferred;
      return false;
    }
    return true;
  }
  void reportIfDue(Nanos now) {
    const Nanos since = now - reportedAt;
    if (reportedAt != 0 && since < (reportOutdated ? kMinReportIntervalNs : Children::kRenewalIntervalNs))
      return;
    const bool toLeader = settings.votes && !leader.empty() && leader != settings.self;
    if (!toLeader && (settings.votes || parents.parent().empty())) return;
    reportedAt = now;
    if (sendReport(toLeader ? leader : parents.parent(), 0, now, toLeader ? Kind::counts : Kind::report))
      reportOutdated = false;
  }
  void requestMissing(Nanos now) {
    if (parents.parent().empty() || (requestedAt != 0 && now - requestedAt < kRequestIntervalNs)) return;
    if (sendReport(parents.parent(), Report::kMissing, now)) requestedAt = reportedAt = now;
  }
  void perform(const Parents::Actions& actions, Nanos now) {
    using ActionKind = Parents::Action::Kind;
    for (const auto& action : actions) {
      if (action.kind == ActionKind::unsubscribe)
        sendControl(action.to, writeBare(Kind::unsubscribe), now);
      else if (action.kind == ActionKind::probe)
        sendReport(action.to, Report::kProbe, now);
      else if (action.kind == ActionKind::renew)
        sendReport(action.to, Report::kSubscribe, now);
      else
        sendReport(
            action.to,
            static_cast<std::uint8_t>(Report::kSubscribe | Report::kMissing |
                                      (action.kind == ActionKind::subscribeUrgently ? Report::kUrgent : 0)),
            now);
    }
    if (parents.parent() != previousParent) {
      previousParent = parents.parent();
      announcedFreshness.reset();
      outOfOrder.clear();
      registerDiverged = false;  // was relative to the former parent's register
      behindSince = 0;
      parentNumber = 0;
      reportedAt = now;  // the subscription carried a full report
      reportOutdated = true;
    }
  }
  // Returns whether `from` is the parent, or has just become it by answering the pending subscription.
  bool acceptFromParent(const std::string& from, Nanos now) {
    Parents::Actions actions;
    const bool isParent = parents.onMessage(from, now, actions);
    perform(actions, now);
    return isParent;
  }
  // Answers a member that wrongly takes this one for its child.
  void rejectNonParent(const std::string& from, Nanos now) {
    ++counters.repeated;
    sendReply(from, writeBare(Kind::unsubscribe), now);
  }
  void onHeartbeat(const std::string& from, const Heartbeat& b, Nanos now) {
    const bool distrusted = now < distrustUntil;
    const Nanos stateAge = b.age == Heartbeat::kNever || distrusted
                               ? kNeverConfirmedNs
                               : Nanos{b.age} * kAgeUnitNs + kMaxTransitNs;
    const bool wasProbed = parents.probed(from);
    Parents::Actions actions;
    const bool isParent = parents.onHeartbeat(from, stateAge, Nanos{b.every} * kAgeUnitNs, now, actions);
    perform(actions, now);
    if (!isParent) {
      if (!wasProbed) rejectNonParent(from, now);
      return;
    }
    parentNumber = b.number;
    parentInterval = Nanos{b.every} * kAgeUnitNs;
    const bool inSync = b.mark == replica.mark() && b.number == replica.position().number;
    if (inSync) {
      behindSince = 0;
      slowAfter = kSlowParentTimeoutNs;
    } else if (behindSince == 0) {
      behindSince = now;
      progressAt = now;
    }
    if (inSync || stateAge > settings.staleAfter)
      contradictedSince = 0;
    else if (contradictedSince == 0)
      contradictedSince = now;
    if (stateAge < kNeverConfirmedNs) {
      announcedFreshness = Freshness{b.number, b.mark, now - stateAge};
      applyAnnouncedFreshness();
    }
    if (now - heartbeatsAt >= heartbeatInterval() * 4 / 5) sendHeartbeats(now);
  }
  void onChanges(const std::string& from, const Changes& c, Nanos now) {
    if (!acceptFromParent(from, now)) return rejectNonParent(from, now);
    if (c.from > replica.position().number) {
      if (behindSince == 0) {
        behindSince = now;
        progressAt = now;
      }
      if (outOfOrder.size() >= kMaxOutOfOrder || !outOfOrder.try_emplace(c.from, c).second)
        ++counters.repeated;
      return;
    }
    bool advances = applyChanges(c, now);
    while (advances && !outOfOrder.empty() && outOfOrder.begin()->first <= replica.position().number) {
      const auto next = std::move(outOfOrder.extract(outOfOrder.begin()).mapped());
      if (next.from + next.commands.size() > replica.position().number) applyChanges(next, now);
    }
    if (advances) onAdvanced(now);
  }
  // Applies changes that start at or before the current position; those that are known already are skipped.
  // Returns whether the position advanced.
  bool applyChanges(const Changes& c, Nanos now) {
    const auto number = replica.position().number;
    if (c.from + c.commands.size() <= number) {
      ++counters.repeated;
      return false;
    }
    std::vector<agreement::Command> commands;
    for (auto i = static_cast<std::size_t>(number - c.from); i < c.commands.size(); ++i) {
      auto command = agreement::deserializeCommand(c.commands[i]);
      if (!command) {
        ++counters.broken;
        return false;
      }
      commands.push_back(std::move(*command));
    }
    if (!replica.apply(commands, c.digest)) {
      ++counters.diverged;
      registerDiverged = true;
      outOfOrder.clear();
      requestMissing(now);
      return false;
    }
    counters.changesApplied += commands.size();
    registerDiverged = false;
    return true;
  }
  void onAdvanced(Nanos now) {
    progressAt = now;
    contradictedSince = 0;
    reportOutdated = true;
    applyAnnouncedFreshness();
    if (fetch && replica.position() >= Position{fetch->offer().generation, fetch->offer().number})
      fetch.reset();
    sendPendingToAll(now);
    reportIfDue(now);
  }
  bool wantsSnapshot(const Offer& o, Nanos now) const {
    const Position at{o.generation, o.number};
    if (o.generation > 0 && o.generation < replica.position().generation) return contradicted(now);
    return at > replica.position() || (at == replica.position() && o.digest != replica.digest());
  }
  void onOffer(const std::string& from, const Offer& o, Nanos now) {
    if (!acceptFromParent(from, now)) return rejectNonParent(from, now);
    if (o.size == 0 || o.size > settings.maxSnapshotBytes) {
      ++counters.broken;
      return;
    }
    if (!wantsSnapshot(o, now)) {
      ++counters.repeated;
      return;
    }
    if (fetch && fetch->offer().hash == o.hash) return fetch->addFirstSource(from);
    if (fetch && !fetch->stuck(now)) return;
    std::vector<std::string> sources{from};
    sources.insert(sources.end(), tree.sources.begin(), tree.sources.end());
    sources.insert(sources.end(), tree.candidates.begin(), tree.candidates.end());
    fetch.emplace(o, std::max<std::size_t>(settings.pieceBytes, 64), sources, now);
    requestPieces(now);
  }
  void requestPieces(Nanos now) {
    if (!fetch) return;
    for (const auto& message : fetch->tick(now)) sendControl(message.to, write(message.request), now);
  }
  void onPiece(const std::string& from, Piece piece, Nanos now) {
    if (!fetch || !fetch->addPiece(from, std::move(piece), now)) {
      ++counters.repeated;
      return;
    }
    progressAt = now;
    if (!fetch->complete()) return requestPieces(now);
    const Offer o = fetch->offer();
    auto bytes = fetch->bytes();
    fetch.reset();
    if (!wantsSnapshot(o, now)) return;
    if (Replica::hashOf(bytes) != o.hash ||
        !replica.restore(std::move(bytes), {o.generation, o.number}, o.hash)) {
      ++counters.broken;
      return requestMissing(now);
    }
    ++counters.snapshotsInstalled;
    onReplaced(now);
  }
  // The register was replaced as a whole, by a snapshot or by a voter's register.
  void onReplaced(Nanos now) {
    registerDiverged = false;
    for (auto& [name, child] : children.all()) child.onLog = false;  // decided again with its next report
    outOfOrder.clear();
    requestedAt = 0;
    onAdvanced(now);
    requestMissing(now);
    sendHeartbeats(now);
  }
  void adopt(const agreement::Register& whole, Nanos now) {
    if (settings.votes || positionOf(whole) <= replica.position()) return;
    detectStall(now);
    replica.replace(whole);
    onReplaced(now);
  }
  void tickFetch(Nanos now) {
    if (!fetch) return;
    if (fetch->abandoned(now)) {
      // A parent that never answered may have offered a snapshot that nobody has, itself included.
      const bool parentHasIt = fetch->answeredBy(parents.parent());
      fetch.reset();
      return parentHasIt ? requestMissing(now) : leaveSlowParent(now);
    }
    requestPieces(now);
  }
  void checkProgress(Nanos now) {
    if (behindSince == 0 || parents.parent().empty()) return;
    const bool parentAhead = parentNumber > replica.position().number;
    const Nanos wait = parentAhead ? kReorderNs : 3 * kReorderNs;
    const Nanos gap = parentAhead ? kRequestIntervalNs : kDivergedRequestIntervalNs;
    // While changes keep arriving nothing is requested, since the rest may be in flight.
    if (now - std::max(behindSince, progressAt) >= wait && now - requestedAt >= gap && !fetch)
      requestMissing(now);
    if (!parentAhead || fetch || now - progressAt < slowAfter) return;
    slowAfter = std::min(kMaxSlowParentTimeoutNs, 2 * slowAfter);
    leaveSlowParent(now);
  }
  void leaveSlowParent(Nanos now) {
    progressAt = now;
    Parents::Actions actions;
    parents.leave(now, actions, Parents::kAvoidUnresponsiveNs / 2);
    perform(actions, now);
  }

  void updateTree(Nanos now) {
    if (!view || (treeComputedAt != 0 && now - treeComputedAt < settings.beatEvery)) return;
    treeComputedAt = now;
    tree = Tree::of(settings, std::move(*view));
    view.reset();
    if (!settings.votes) parents.setTree(tree, now);
    if (fetch) fetch->addSources(tree.sources);
  }
  FleetProgress inForce() const {
    static const std::map<std::string, Counts> kNone;
    return sum(replica.position(), children, settings.votes && leader == settings.self ? voterCounts : kNone);
  }

  void tick(Nanos now) {
    detectStall(now);
    tickAt = now;
    if (settings.voters.empty()) return;
    updateTree(now);
    if (now >= nextExpiryCheckAt) {
      nextExpiryCheckAt = now + kExpiryCheckIntervalNs;
      if (children.removeExpired(now)) reportOutdated = true;
      std::erase_if(voterCounts, [&](const auto& c) {
        return now - c.second.reportedAt > Children::kSubscriptionExpiryNs;
      });
    }
    if (settings.votes) {
      if (led && now >= distrustUntil) confirmFreshness(now);
    } else {
      perform(parents.tick(now), now);
      checkProgress(now);
      tickFetch(now);
    }
    if (childWaiting) sendPendingToAll(now);
    if (now - heartbeatsAt >= maxHeartbeatInterval() - 20 * kMs) sendHeartbeats(now);
    reportIfDue(now);
  }
  void received(const std::string& from, std::string_view bytes, Nanos now) {
    detectStall(now);
    if (settings.voters.empty()) return;
    ++counters.received;
    counters.receivedBytes += bytes.size() + settings.frameBytes;
    const auto kind = kindOf(bytes);
    if (!kind || from.empty() || from == settings.self || !dispatch(from, *kind, bytes, now))
      ++counters.broken;
  }
  // Returns false for a malformed message.
  bool dispatch(const std::string& from, Kind kind, std::string_view bytes, Nanos now) {
    const bool fromParentOnly = kind == Kind::heartbeat || kind == Kind::changes || kind == Kind::refuse ||
                                kind == Kind::offer || kind == Kind::piece || kind == Kind::unavailable;
    if (fromParentOnly && settings.votes) {  // a voter has no parent
      ++counters.repeated;
      return true;
    }
    switch (kind) {
      case Kind::heartbeat:
        if (const auto m = readHeartbeat(bytes)) return onHeartbeat(from, *m, now), true;
        return false;
      case Kind::changes:
        if (const auto m = readChanges(bytes)) return onChanges(from, *m, now), true;
        return false;
      case Kind::report:
        if (const auto m = readReport(bytes)) return onReport(from, *m, now), true;
        return false;
      case Kind::refuse: {
        Parents::Actions actions;
        parents.onRefused(from, now, actions);
        perform(actions, now);
        return true;
      }
      case Kind::offer:
        if (const auto m = readOffer(bytes)) return onOffer(from, *m, now), true;
        return false;
      case Kind::pieceRequest:
        if (const auto m = readPieceRequest(bytes)) return onPieceRequest(from, *m, now), true;
        return false;
      case Kind::piece:
        if (auto m = readPiece(bytes)) return onPiece(from, std::move(*m), now), true;
        return false;
      case Kind::unavailable:
        if (const auto m = readUnavailable(bytes)) {
          if (fetch && fetch->offer().hash == m->hash)
            fetch->onUnavailable(from, m->busy, now);
          else
            ++counters.repeated;
          return true;
        }
        return false;
      case Kind::unsubscribe:
        if (!children.find(from)) return ++counters.repeated, true;
        reportOutdated = true;
        children.remove(from);
        return true;
      case Kind::counts:
        if (const auto m = readReport(bytes)) {
          if (settings.votes && isVoter(from))
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
              const std::string& currentLeader, Nanos now) {
    detectStall(now);
    if (!settings.votes) return;
    leader = currentLeader;
    led = !leader.empty();
    if (led && now >= distrustUntil) confirmFreshness(now);
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
    reportOutdated = true;
    sendPendingToAll(now);
  }

  Settings settings;
  Replica replica;
  Budget budget;
  Parents parents;
  Children children;
  Tree tree;
  Counters counters;
  std::optional<Fetch> fetch;
  std::optional<std::vector<Peer>> view;        // set: the tree has not been computed from it yet
  std::map<std::uint64_t, Changes> outOfOrder;  // by Changes::from; buffered until the gap before is filled
  std::map<std::string, Counts> voterCounts;    // at the leader: of the other voters
  std::vector<Out> out;
  std::string leader, previousParent;
  std::string servedRequester;  // receives pieces exclusively until servedUntil while the budget is low
  Nanos servedUntil = 0, nextExpiryCheckAt = 0;
  bool childWaiting = false;  // changes to some child are held back by the budget
  bool led = false;           // this voter knows of a leader
  bool everConfirmed = false;
  bool registerDiverged = false;                // the last changes did not match the parent's digest
  bool reportOutdated = true;                   // the counts have changed since the last report
  std::optional<Freshness> announcedFreshness;  // of the parent, until the replica has reached that state
  Nanos confirmedAt = 0, tickAt = 0, treeComputedAt = 0, heartbeatsAt = 0, distrustUntil = 0;
  Nanos parentInterval = 0, behindSince = 0, progressAt = 0, slowAfter = kSlowParentTimeoutNs;
  Nanos contradictedSince = 0, requestedAt = 0, reportedAt = 0;
  std::uint64_t parentNumber = 0;
  std::size_t nextFirstChild = 0;
};

Disseminator::Disseminator(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {
  impl_->view.emplace();
}
Disseminator::~Disseminator() = default;

std::vector<Out> Disseminator::agreed(const agreement::Register& held,
                                      const std::vector<agreement::Command>& applied,
                                      const std::string& leader, Nanos now) {
  impl_->agreed(held, applied, leader, now);
  return impl_->takeOutput();
}
std::vector<Out> Disseminator::adopt(const agreement::Register& whole, Nanos now) {
  impl_->adopt(whole, now);
  return impl_->takeOutput();
}
void Disseminator::sees(std::vector<Peer> view) { impl_->view = std::move(view); }
std::vector<Out> Disseminator::tick(Nanos now) {
  impl_->tick(now);
  return impl_->takeOutput();
}
std::vector<Out> Disseminator::received(const std::string& from, std::string_view bytes, Nanos now) {
  impl_->received(from, bytes, now);
  return impl_->takeOutput();
}
const agreement::Register& Disseminator::held() const { return impl_->replica.held(); }
Position Disseminator::position() const { return impl_->replica.position(); }
Nanos Disseminator::age(Nanos now) const { return impl_->everConfirmed ? impl_->age(now) : -1; }
const std::string& Disseminator::parent() const { return impl_->parents.parent(); }
std::size_t Disseminator::children() const { return impl_->children.all().size(); }
FleetProgress Disseminator::inForce() const { return impl_->inForce(); }
const Counters& Disseminator::counters() const {
  impl_->counters.parentsLeft = impl_->parents.parentsLeft();
  return impl_->counters;
}

}  // namespace topazweir::dissemination

#include "fleet/fleet_service.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace topazweir::fleet {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::size_t kMaxDatagramBytes = 1300;  // passes all usual links without fragmentation
constexpr Nanos kListenRetryNs = 100 * kMs;
constexpr Nanos kTicksPerPeriod = 10;
constexpr Nanos kMaxTickNs = 100 * kMs;  // required by the dissemination

// The constants named ...Periods are in units of the configured membership period.

// Interval between two requests for a voter's register, on a connection each, while the dissemination does
// not reach this member: with a period of 1 s, 300 members make 20 requests a second at each of three voters.
constexpr Nanos kFollowPeriods = 5;
// Age of the register from which it is stale and a voter is asked for it. The age counts from the last
// confirmation by a voter that knew of a leader.
constexpr Nanos kStalePeriods = 10;
// Age of the register from which no leader is assumed to be known.
constexpr Nanos kLeaderKnownPeriods = agreement::Follower::kFreshIntervals * kFollowPeriods;
// Times of the dissemination; with the default period of 1 s they give the defaults of its Settings.
constexpr Nanos kHeartbeatsPerPeriod = 4;
constexpr Nanos kHeartbeatTimeoutFifths = 4;  // in fifths of a period
constexpr Nanos kFreshPeriods = 2;
constexpr int kSettleSyncs = 2;  // number of full exchanges after which the members' views agree

membership::Settings detectorSettings(const config::MembershipConfig& config, std::uint64_t seed) {
  membership::Settings out;
  out.period = config.period;
  out.probeTimeout = config.probeTimeout;
  out.syncInterval = config.syncInterval;
  out.forgetTimeout = config.forgetTimeout;
  out.seed = seed;
  return out;
}

dissemination::Settings disseminationSettings(const config::MembershipConfig& config, std::uint64_t seed) {
  dissemination::Settings out;
  out.self = config.name;
  out.zone = config.zone;
  out.votes = config.votes();
  out.voters = config.voterNames();
  out.relays = config.relays;
  out.fanOut = config.fanOut;
  out.beatEvery = config.period / kHeartbeatsPerPeriod;
  out.heartbeatTimeout = kHeartbeatTimeoutFifths * config.period / 5;
  out.staleAfter = kFreshPeriods * config.period;
  out.bytesPerSecond = static_cast<double>(config.changeBytesPerSecond);
  // MessagePack needs up to two more bytes for the length of a payload that is not empty.
  constexpr std::size_t kPayloadLengthBytes = 2;
  out.frameBytes =
      encode({.kind = membership::Kind::dissemination, .sender = config.name}, config.fleet).size() +
      kPayloadLengthBytes;
  out.seed = seed;
  return out;
}

bool disseminates(const membership::Record& record) {
  return std::string_view(record.version).ends_with(kDisseminationSuffix);
}

// Randomised, so that members that lose their connection to the tree at the same time do not all ask the
// voters at once.
Nanos initialFollowDelay(const config::MembershipConfig& config, std::uint64_t seed) {
  const Nanos interval = kFollowPeriods * config.period;
  std::mt19937_64 random(seed);
  return std::uniform_int_distribution<Nanos>(interval / 2, interval)(random);
}

std::string positionText(const dissemination::Position& position) {
  return fmt::format("{}/{}", position.generation, position.number);
}

std::string orDash(const std::string& text) { return text.empty() ? "-" : text; }

const char* nameOf(membership::State state) { return membership::kStateNames[static_cast<int>(state)]; }
const char* nameOf(membership::Duty duty) { return membership::kDutyNames[static_cast<int>(duty)]; }

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }
// In seconds.
std::string ageText(Nanos age) { return age < 0 ? "-" : fmt::format("{:.1f}", seconds(age)); }

}  // namespace

FleetService::FleetService(net::Loop& loop, broker::Log& log, const config::MembershipConfig& config,
                           const std::string& version, std::uint64_t seed, membership::Share initialShare,
                           Host& host)
    : loop_(loop),
      log_(log),
      config_(config),
      host_(host),
      detector_(
          detectorSettings(config, seed),
          membership::Record{config.name, config.advertise, config.zone,
                             config.voters.empty() ? version : version + std::string(kDisseminationSuffix)}),
      sharers_(kSettleSyncs * config.syncInterval, initialShare.count),
      share_(initialShare),
      seed_(seed) {
  if (!config_.voters.empty())
    disseminator_ = std::make_unique<dissemination::Disseminator>(disseminationSettings(config, seed));
  if (!config_.votes())
    follower_.emplace(config_.voterNames(), kFollowPeriods * config_.period,
                      initialFollowDelay(config, seed));
}

FleetService::~FleetService() { stop(); }

void FleetService::start() {
  if (!openSockets()) {
    if (!host_.accompanied())
      throw config::ConfigError("key membership.listen: cannot listen on " + config_.listen);
    timer_ = loop_.after(kListenRetryNs, [this] { retryStart(); });
    return;
  }
  openRaftGroup();
  joinFleet();
}

// During an upgrade the other process of this aggregator may still hold the address.
void FleetService::retryStart() {
  try {
    start();
  } catch (const config::ConfigError& error) {
    log_.line("membership.not_started", error.what());
    stop();
  }
}

// Only once this process holds the address: two processes of one voter must not both vote and log.
void FleetService::openRaftGroup() {
  if (!config_.votes()) return;
  try {
    raftGroup_.emplace(config_, seed_, loop_.now());
  } catch (const std::runtime_error& error) {
    throw config::ConfigError(std::string("key membership.state: ") + error.what());
  }
}

bool FleetService::openSockets() {
  const Poco::Net::SocketAddress address(config_.listen);
  try {
    streams_.emplace(
        loop_, address, [this](auto bytes) { return onStreamMessage(bytes); },
        [this](auto bytes) { onStreamMessage(bytes); });
    datagrams_.emplace(loop_, address, [this](auto bytes, const auto&) { onDatagram(bytes); });
    return true;
  } catch (const Poco::Exception&) {
    streams_.reset();
    return false;
  }
}

void FleetService::joinFleet() {
  log_.line("membership.started",
            fmt::format("{} fleet={} listen={} advertise={} voters={}", config_.name, config_.fleet,
                        config_.listen, config_.advertise, config_.voters.size()));
  if (raftGroup_ && raftGroup_->truncatedBytes() > 0)
    log_.line("membership.state_cut", fmt::format("{} bytes of an incomplete last record were dropped",
                                                  raftGroup_->truncatedBytes()));
  applyStep(detector_.join(config_.seeds, loop_.now()));
  viewChanged_ = true;
  startedAt_ = loop_.now();
  tick();
}

void FleetService::tick() {
  const auto next = std::clamp<Nanos>(config_.period / kTicksPerPeriod, 1, kMaxTickNs);
  timer_ = loop_.after(next, [this] { tick(); });
  detector_.busy(loadMeter_.now(host_.load(), loop_.now()));
  applyStep(detector_.tick(loop_.now()));
  if (raftGroup_) sendRaftMessages(raftGroup_->tick(loop_.now()));
  tickDissemination();
  if (follower_) pollVoters();
  logRegisterChanges();
  logDisseminationChanges();
  updateMembershipState();
}

void FleetService::updateMembershipState() {
  const auto standing = membership::standing(detector_, config_.voterNames(), leaderKnown());
  if (standing != membershipState_)
    log_.line("membership.standing",
              fmt::format("{} was {} alive={}", membership::kMembershipStateNames[static_cast<int>(standing)],
                          membership::kMembershipStateNames[static_cast<int>(membershipState_)],
                          detector_.alive()));
  membershipState_ = standing;
  const auto share = sharers_.now(detector_, loop_.now());
  if (share == share_) return;
  share_ = share;
  host_.shares(share);
}

void FleetService::leave() {
  if (datagrams_) applyStep(detector_.leave(loop_.now()));
  stop();
}

void FleetService::stop() {
  loop_.cancel(timer_);
  // First: from the moment the address is free, the next process takes part as this voter.
  raftGroup_.reset();
  datagrams_.reset();
  streams_.reset();
}

std::optional<membership::Message> FleetService::decodeMessage(std::string_view bytes) {
  auto decoded = decode(bytes, config_.fleet);
  if (auto* message = std::get_if<membership::Message>(&decoded)) return std::move(*message);
  switch (std::get<DecodeError>(decoded)) {
    case DecodeError::broken:
      ++counters_.broken;
      break;
    case DecodeError::foreign:
      ++counters_.foreign;
      break;
    case DecodeError::otherVersion:
      ++counters_.otherVersion;
      break;
  }
  return std::nullopt;
}

void FleetService::onDatagram(std::string_view bytes) {
  ++counters_.received;
  counters_.receivedBytes += bytes.size();
  const auto message = decodeMessage(bytes);
  if (message && message->kind == membership::Kind::agreement) return onRaftMessage(*message);
  if (message && message->kind == membership::Kind::dissemination) return onDisseminationMessage(*message);
  // Requests that belong on a stream are ignored: their replies are many times larger, and a datagram's
  // source address may be forged (amplification).
  if (message && !membership::usesStream(message->kind)) applyStep(detector_.received(*message, loop_.now()));
}

std::string FleetService::onStreamMessage(std::string_view bytes) {
  std::string reply;
  const auto message = decodeMessage(bytes);
  if (!message) return reply;
  switch (message->kind) {
    case membership::Kind::agreement:
      onRaftMessage(*message);
      return reply;
    case membership::Kind::dissemination:
      onDisseminationMessage(*message);
      return reply;
    case membership::Kind::follow:
      return replyToFollower(*message);
    case membership::Kind::followReply:
      onFollowerReply(*message);
      return reply;
    default:
      break;
  }
  if (membership::usesStream(message->kind)) applyStep(detector_.received(*message, loop_.now()), &reply);
  return reply;
}

// `reply`: set to the reply to a message received by stream, to be sent back on the same connection.
void FleetService::applyStep(membership::Step step, std::string* reply) {
  viewChanged_ = viewChanged_ || !step.changes.empty();
  for (const auto& change : step.changes) {
    const auto& record = change.record;
    log_.line(
        "membership.member",
        fmt::format("{} {} duty={} incarnation={} address={} zone={} version={}{} cause={}", record.name,
                    nameOf(record.state), nameOf(record.published.duty), record.incarnation, record.address,
                    record.zone, record.version,
                    record.state == membership::State::suspect ? " by=" + record.by : "", change.cause));
  }
  if (!step.nameTakenBy.empty())
    log_.line("membership.name_taken", config_.name + " is also at " + step.nameTakenBy);
  for (const auto& out : step.out) {
    if (reply && out.message.kind == membership::Kind::syncReply) {
      *reply = encode(out.message, config_.fleet);
    } else {
      send(out);
    }
  }
}

void FleetService::send(const membership::Out& out) {
  if (!datagrams_ || !config::isAddress(out.to)) return;  // addresses are announced by other members
  const Poco::Net::SocketAddress to(out.to);
  const auto bytes = encode(out.message, config_.fleet);
  if (membership::usesStream(out.message.kind)) return streams_->ask(to, bytes);
  if (bytes.size() > kMaxDatagramBytes) return streams_->tell(to, bytes);
  ++counters_.sent;
  counters_.sentBytes += bytes.size();
  if (!datagrams_->send(bytes, to)) ++counters_.unsent;
}

void FleetService::onRaftMessage(const membership::Message& message) {
  if (!raftGroup_) return;
  std::vector<RaftGroup::Out> out;
  if (!raftGroup_->received(message.sender, message.payload, loop_.now(), out)) ++counters_.votersDiffer;
  sendRaftMessages(out);
  forwardApplied();
  logRegisterChanges();
}

// Passes commands that this voter has applied on to the dissemination without waiting for the next tick.
void FleetService::forwardApplied() {
  if (!raftGroup_ || !disseminator_ || raftGroup_->held().commands() == disseminator_->position().number)
    return;
  sendDissemination(disseminator_->agreed(raftGroup_->held(), raftGroup_->takeApplied(), raftGroup_->leader(),
                                          loop_.now()));
}

void FleetService::tickDissemination() {
  if (!disseminator_) return;
  const auto now = loop_.now();
  if (std::exchange(viewChanged_, false)) updateDisseminationView();
  if (raftGroup_)
    sendDissemination(
        disseminator_->agreed(raftGroup_->held(), raftGroup_->takeApplied(), raftGroup_->leader(), now));
  sendDissemination(disseminator_->tick(now));
}

void FleetService::updateDisseminationView() {
  std::vector<dissemination::Peer> view;
  for (const auto& [name, member] : detector_.view())
    view.push_back({name, member.record.zone,
                    member.record.state <= membership::State::suspect && disseminates(member.record)});
  disseminator_->sees(std::move(view));
}

void FleetService::onDisseminationMessage(const membership::Message& message) {
  if (!disseminator_) return;
  const bool known = detector_.view().contains(message.sender) ||
                     std::any_of(config_.voters.begin(), config_.voters.end(),
                                 [&](const config::Voter& v) { return v.name == message.sender; });
  if (!known || message.sender == config_.name) return void(++counters_.changesForeign);
  sendDissemination(disseminator_->received(message.sender, message.payload, loop_.now()));
  logRegisterChanges();
  logDisseminationChanges();
}

// Messages leave out the sender's address, which the receiver knows. Members of versions without
// dissemination get none.
void FleetService::sendDissemination(const std::vector<dissemination::Out>& messages) {
  for (const auto& out : messages) {
    const auto at = detector_.view().find(out.to);
    if (at != detector_.view().end() && !disseminates(at->second.record)) continue;
    send({voterAddress(out.to),
          membership::Message{
              .kind = membership::Kind::dissemination, .sender = config_.name, .payload = out.bytes}});
  }
}

bool FleetService::propose(const agreement::Command& command) {
  std::vector<RaftGroup::Out> out;
  if (!raftGroup_ || !raftGroup_->propose(command, loop_.now(), out)) return false;
  sendRaftMessages(out);
  forwardApplied();
  logRegisterChanges();
  return true;
}

// The number of this voter's commands that the sender of a request already has. If it has an older generation
// of the register it has none of them, since the voters have restarted with empty state; if it has a newer
// one, there is nothing to send. Members of versions without generations send an empty payload.
std::uint64_t FleetService::commandsKnownTo(const membership::Message& request) const {
  std::uint64_t generation = 0;
  const auto& text = request.payload;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), generation);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return request.sequence;
  const auto ownGeneration = dissemination::positionOf(raftGroup_->held()).generation;
  if (generation == ownGeneration) return request.sequence;
  return generation < ownGeneration ? 0 : UINT64_MAX;
}

std::string FleetService::replyToFollower(const membership::Message& request) {
  if (!raftGroup_) return {};
  membership::Message reply{.kind = membership::Kind::followReply, .sender = config_.name};
  reply.from = config_.advertise;
  reply.payload = agreement::encodeFollowerReply(raftGroup_->held(), !raftGroup_->leader().empty(),
                                                 commandsKnownTo(request));
  return encode(reply, config_.fleet);
}

// Requests the register from a voter when that is due, and only while the dissemination does not reach this
// member.
void FleetService::pollVoters() {
  const auto now = loop_.now();
  if (disseminator_) {
    const auto age = disseminator_->age(now);
    if ((age < 0 ? now - startedAt_ : age) <= kStalePeriods * config_.period) follower_->rest(now);
    if (disseminator_->position() >= dissemination::positionOf(follower_->held())) follower_->drop();
  }
  const auto voter = follower_->tick(now);
  if (!voter || *voter == config_.name) return;
  membership::Message request{.kind = membership::Kind::follow, .sender = config_.name};
  request.from = config_.advertise;
  request.sequence = currentRegister().commands();
  request.payload = std::to_string(position().generation);
  ++counters_.registerAsked;
  send({voterAddress(*voter), std::move(request)});
}

void FleetService::onFollowerReply(const membership::Message& reply) {
  if (!follower_) return;
  if (!follower_->take(reply.payload, loop_.now())) return void(++counters_.broken);
  if (!disseminator_ || dissemination::positionOf(follower_->held()) <= disseminator_->position()) return;
  ++counters_.registersAdopted;
  sendDissemination(disseminator_->adopt(follower_->held(), loop_.now()));
}

// The address that the voter announces, or the configured one while it is not known as a member.
std::string FleetService::voterAddress(const std::string& voter) const {
  if (const auto at = detector_.view().find(voter); at != detector_.view().end())
    return at->second.record.address;
  for (const auto& configured : config_.voters)
    if (configured.name == voter) return configured.address;
  return {};
}

// If both the dissemination and the follower hold a register, the newer one.
const agreement::Register& FleetService::currentRegister() const {
  if (raftGroup_) return raftGroup_->held();
  const bool disseminated =
      disseminator_ && disseminator_->position() >= dissemination::positionOf(follower_->held());
  return disseminated ? disseminator_->held() : follower_->held();
}

dissemination::Position FleetService::position() const {
  return holdsRegister() ? dissemination::positionOf(currentRegister()) : dissemination::Position{};
}

Nanos FleetService::registerAge() const {
  const auto now = loop_.now();
  const Nanos disseminatedAge = disseminator_ ? disseminator_->age(now) : -1;
  const Nanos polledAge = follower_ ? follower_->age(now) : -1;
  return disseminatedAge < 0 || polledAge < 0 ? std::max(disseminatedAge, polledAge)
                                              : std::min(disseminatedAge, polledAge);
}

// Also true if no voter has ever confirmed a leader (negative age): the voters may keep no register.
bool FleetService::leaderKnown() const {
  return raftGroup_ ? !raftGroup_->leader().empty() : registerAge() <= kLeaderKnownPeriods * config_.period;
}

// send() uses datagrams for small messages, which Raft repeats if they are lost, and streams for entries and
// snapshots that do not fit into one.
void FleetService::sendRaftMessages(const std::vector<RaftGroup::Out>& messages) {
  for (const auto& out : messages) {
    membership::Message message{.kind = membership::Kind::agreement, .sender = config_.name};
    message.from = config_.advertise;
    message.payload = out.bytes;
    send({voterAddress(out.to), std::move(message)});
  }
}

void FleetService::logRegisterChanges() {
  if (!holdsRegister()) return;
  if (raftGroup_ && storeWorked_ && !raftGroup_->works()) {
    storeWorked_ = false;
    log_.line("membership.state_failed",
              config_.state + ": cannot be written; this voter no longer takes part in the Raft group");
  }
  const auto* role = currentRegister().find(RaftGroup::kCoordinatorKey);
  auto coordinator = role ? fmt::format("{} fence={}", role->value, role->fence) : std::string();
  if (coordinator == loggedCoordinator_) return;
  loggedCoordinator_ = std::move(coordinator);
  log_.line("membership.coordinator", loggedCoordinator_);
}

void FleetService::logDisseminationChanges() {
  if (!disseminator_) return;
  if (const auto& parent = disseminator_->parent(); parent != parent_) {
    log_.line("membership.parent", fmt::format("{} was {}", orDash(parent), orDash(parent_)));
    parent_ = parent;
  }
  if (const auto diverged = disseminator_->counters().diverged; diverged > loggedDiverged_) {
    log_.line("membership.diverged", fmt::format("count={} parent={}", diverged, orDash(parent_)));
    loggedDiverged_ = diverged;
  }
  const auto age = registerAge();
  const bool stale = age > kStalePeriods * config_.period;
  if (stale == stale_) return;
  stale_ = stale;
  log_.line(stale ? "membership.stale" : "membership.fresh",
            fmt::format("age={} position={}", ageText(age), positionText(position())));
}

std::string FleetService::registerText() const {
  if (!holdsRegister()) return "NAK this member keeps no register yet\n";
  std::string out = fmt::format(
      "ACK commands={} {}\n", currentRegister().commands(),
      raftGroup_ ? "voter"
                 : fmt::format("follows age={} parent={}", ageText(registerAge()), orDash(parent_)));
  for (const auto& [key, value] : currentRegister().all())
    out += fmt::format("{} fence={} {}\n", key, value.fence, value.value);
  return out;
}

std::optional<std::string> FleetService::answer(std::string_view line) const {
  constexpr std::string_view kMembers = "members";
  constexpr std::string_view kExplain = "members explain ";
  constexpr std::string_view kRegister = "members register";
  if (line == kMembers) return membersText();
  if (line == kRegister) return registerText();
  if (line.starts_with(kExplain)) return explainMember(std::string(line.substr(kExplain.size())));
  return std::nullopt;
}

// A header line, then one line per member, with fields separated by spaces. No string that a member announces
// contains a space; an empty one is shown as "-".
std::string FleetService::membersText() const {
  const auto now = loop_.now();
  std::string out =
      fmt::format("ACK self={} fleet={} standing={} alive={} known={} doubts={}{}{}\n", config_.name,
                  config_.fleet, membership::kMembershipStateNames[static_cast<int>(membershipState_)],
                  detector_.alive(), detector_.view().size(), detector_.health(),
                  raftGroup_ ? fmt::format(" leader={} term={} decided={}", orDash(raftGroup_->leader()),
                                           raftGroup_->term(), raftGroup_->held().commands())
                             : std::string(),
                  propagationText());
  for (const auto& [name, member] : detector_.view())
    out += fmt::format("{} {} {} {:.0f} {} {} {} {} {} {}\n", name, nameOf(member.record.state),
                       nameOf(member.record.published.duty), seconds(now - member.since),
                       member.record.incarnation, orDash(member.record.zone), orDash(member.record.version),
                       orDash(member.record.address), member.load.open, member.load.refusedPermille);
  return out;
}

// Fields of the header line: the position and age of this member's register and, at a voter, the low
// watermark of the members counted below it in the dissemination tree.
std::string FleetService::propagationText() const {
  if (!disseminator_ || !holdsRegister()) return {};
  std::string out = fmt::format(" position={} age={} parent={}", positionText(position()),
                                ageText(registerAge()), orDash(parent_));
  if (!raftGroup_) return out;
  const auto watermark = disseminator_->inForce();
  out += fmt::format(" in_force={} members={} level={}", positionText(watermark.low), watermark.members,
                     watermark.level);
  for (const auto& slow : watermark.slowest)
    out += fmt::format(" behind={}:{}", positionText(slow.at), slow.name);
  return out;
}

std::string FleetService::explainMember(const std::string& name) const {
  const auto at = detector_.view().find(name);
  if (at == detector_.view().end()) return "NAK no member has the name " + name + "\n";
  const auto& member = at->second;
  const auto now = loop_.now();
  std::string out = fmt::format("ACK {} is {} for {:.1f} s\n", name, nameOf(member.record.state),
                                seconds(now - member.since));
  const bool self = name == config_.name;
  out += fmt::format("why: {}\n", self ? "it is the one that was asked" : member.cause);
  if (member.record.state == membership::State::suspect)
    out += fmt::format("probed in vain by: {}\n", member.record.by);
  if (!self)
    out += member.heardAt > 0 ? fmt::format("heard directly: {:.1f} s ago\n", seconds(now - member.heardAt))
                              : std::string("heard directly: never\n");
  out += fmt::format("says of itself: {} (revision {}, incarnation {}) at {}\n",
                     nameOf(member.record.published.duty), member.record.published.revision,
                     member.record.incarnation, member.record.address);
  out += fmt::format("own doubts of {}: {} of {}\n", config_.name, detector_.health(),
                     detector_.settings().maxHealthScore);
  return out;
}

std::string FleetService::print() const {
  const auto line = [](const char* name, std::uint64_t value) { return fmt::format("{} {}\n", name, value); };
  const auto changes = disseminator_ ? disseminator_->counters() : dissemination::Counters{};
  const auto watermark = disseminator_ ? disseminator_->inForce() : dissemination::FleetProgress{};
  const auto age = registerAge();
  return line("members_alive", detector_.alive()) + line("members_known", detector_.view().size()) +
         line("membership_standing", static_cast<std::uint64_t>(membershipState_)) +
         line("membership_doubts", static_cast<std::uint64_t>(detector_.health())) +
         line("membership_sent", counters_.sent) + line("membership_sent_bytes", counters_.sentBytes) +
         line("membership_received", counters_.received) +
         line("membership_received_bytes", counters_.receivedBytes) +
         line("membership_broken", counters_.broken) + line("membership_foreign", counters_.foreign) +
         line("membership_other_version", counters_.otherVersion) +
         line("membership_voters_differ", counters_.votersDiffer) +
         line("membership_leads", raftGroup_ && raftGroup_->leads()) +
         line("membership_decided", raftGroup_ ? raftGroup_->held().commands() : 0) +
         line("membership_unsent", counters_.unsent) +
         line("membership_streams_broken", streams_ ? streams_->broken() : 0) +
         line("register_generation", position().generation) + line("register_position", position().number) +
         fmt::format("register_age_ms {}\n", age < 0 ? -1 : age / kMs) +
         line("register_members", watermark.members) + line("register_level", watermark.level) +
         line("register_low", watermark.low.number) + line("register_asked", counters_.registerAsked) +
         line("register_taken", counters_.registersAdopted) +
         line("changes_applied", changes.changesApplied) +
         line("snapshots_taken", changes.snapshotsInstalled) + line("changes_sent", changes.sent) +
         line("changes_sent_bytes", changes.sentBytes) + line("changes_received", changes.received) +
         line("changes_received_bytes", changes.receivedBytes) + line("changes_deferred", changes.deferred) +
         line("changes_broken", changes.broken) + line("changes_foreign", counters_.changesForeign) +
         line("changes_repeated", changes.repeated) + line("changes_diverged", changes.diverged) +
         line("parents_left", changes.parentsLeft) +
         line("children", disseminator_ ? disseminator_->children() : 0) +
         line("children_turned_away", changes.turnedAway);
}

}  // namespace topazweir::fleet

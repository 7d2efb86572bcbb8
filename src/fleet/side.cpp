#include "fleet/side.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace topazweir::fleet {

namespace {

constexpr std::size_t kMostDatagram = 1300;  // bytes; passes every usual link whole
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kOpenAgain = 100'000'000;
constexpr Nanos kTicksAPeriod = 10;
constexpr Nanos kLongestTick = 100 * kMs;  // as the dissemination wants it
// Between two looks at a voter's register, by a connection each, while the dissemination does not reach this
// member: 300 members make 20 a second at each of three voters.
constexpr Nanos kFollowPeriods = 5;
// Without word that a voter vouched for the register it is stale here, and asked for.
constexpr Nanos kStalePeriods = 10;
// This long without such word, no leader is taken to be known.
constexpr Nanos kLedPeriods = agreement::Follower::kFresh * kFollowPeriods;
// Of the dissemination's times, by the period; with the usual one of 1 s, those of its Settings.
constexpr Nanos kBeatsAPeriod = 4, kSilentFifths = 4, kFreshPeriods = 2;
constexpr int kSettleSyncs = 2;  // full exchanges after which views agree

membership::Settings settingsOf(const config::Membership& config, std::uint64_t seed) {
  membership::Settings out;
  out.period = config.period;
  out.answerTime = config.answerTime;
  out.syncEvery = config.syncEvery;
  out.forgetAfter = config.forgetAfter;
  out.seed = seed;
  return out;
}

dissemination::Settings disseminationOf(const config::Membership& config, std::uint64_t seed) {
  dissemination::Settings out;
  out.self = config.name, out.zone = config.zone;
  out.votes = config.votes();
  out.voters = config.voterNames(), out.relays = config.relays;
  out.fanOut = config.fanOut;
  out.beatEvery = config.period / kBeatsAPeriod;
  out.silentAfter = kSilentFifths * config.period / 5;
  out.staleAfter = kFreshPeriods * config.period;
  out.bytesPerSecond = static_cast<double>(config.changeBytesPerS);
  constexpr std::size_t kPayloadHead = 2;  // bytes more with a longer payload
  out.frameBytes =
      encode({.kind = membership::Kind::dissemination, .sender = config.name}, config.fleet).size() +
      kPayloadHead;
  out.seed = seed;
  return out;
}

bool disseminates(const membership::Record& record) {
  return std::string_view(record.version).ends_with(kDisseminates);
}

// Drawn, so that many that lose their way at once don't all ask the voters at once.
Nanos waitToFollow(const config::Membership& config, std::uint64_t seed) {
  const Nanos every = kFollowPeriods * config.period;
  std::mt19937_64 random(seed);
  return std::uniform_int_distribution<Nanos>(every / 2, every)(random);
}

std::string show(const dissemination::Position& position) {
  return fmt::format("{}/{}", position.generation, position.number);
}

std::string orDash(const std::string& word) { return word.empty() ? "-" : word; }

const char* nameOf(membership::State state) { return membership::kStateNames[static_cast<int>(state)]; }
const char* nameOf(membership::Duty duty) { return membership::kDutyNames[static_cast<int>(duty)]; }

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }
std::string ageText(Nanos age) { return age < 0 ? "-" : fmt::format("{:.1f}", seconds(age)); }

}  // namespace

Side::Side(net::Loop& loop, broker::Log& log, const config::Membership& config, const std::string& version,
           std::uint64_t seed, membership::Share usual, Host& host)
    : loop_(loop),
      log_(log),
      config_(config),
      host_(host),
      detector_(settingsOf(config, seed),
                membership::Record{config.name, config.advertise, config.zone,
                                   config.voters.empty() ? version : version + std::string(kDisseminates)}),
      sharers_(kSettleSyncs * config.syncEvery, usual.count),
      share_(usual),
      seed_(seed) {
  if (!config_.voters.empty())
    disseminator_ = std::make_unique<dissemination::Disseminator>(disseminationOf(config, seed));
  if (!config_.votes())
    follower_.emplace(config_.voterNames(), kFollowPeriods * config_.period, waitToFollow(config, seed));
}

Side::~Side() { stop(); }

void Side::start() {
  if (!open()) {
    if (!host_.accompanied())
      throw config::ConfigError("key membership.listen: cannot listen on " + config_.listen);
    timer_ = loop_.after(kOpenAgain, [this] { startLater(); });
    return;
  }
  openCouncil();
  listen();
}

// The other process of this aggregator may still have the address, or has given it up by now.
void Side::startLater() {
  try {
    start();
  } catch (const config::ConfigError& error) {
    log_.line("membership.not_started", error.what());
    stop();
  }
}

// Not before the address is its own: two processes of one voter must not both give its word.
void Side::openCouncil() {
  if (!config_.votes()) return;
  try {
    council_.emplace(config_, seed_, loop_.now());
  } catch (const std::runtime_error& error) {
    throw config::ConfigError(std::string("key membership.state: ") + error.what());
  }
}

bool Side::open() {
  const Poco::Net::SocketAddress address(config_.listen);
  try {
    streams_.emplace(
        loop_, address, [this](auto bytes) { return onStream(bytes); },
        [this](auto bytes) { onStream(bytes); });
    datagrams_.emplace(loop_, address, [this](auto bytes, const auto&) { onDatagram(bytes); });
    return true;
  } catch (const Poco::Exception&) {
    streams_.reset();
    return false;
  }
}

void Side::listen() {
  log_.line("membership.started",
            fmt::format("{} fleet={} listen={} advertise={} voters={}", config_.name, config_.fleet,
                        config_.listen, config_.advertise, config_.voters.size()));
  if (council_ && council_->cutOff() > 0)
    log_.line("membership.state_cut", fmt::format("{} bytes had not come in whole", council_->cutOff()));
  carryOut(detector_.join(config_.seeds, loop_.now()));
  viewChanged_ = true;
  startedAt_ = loop_.now();
  tick();
}

void Side::tick() {
  const auto next = std::clamp<Nanos>(config_.period / kTicksAPeriod, 1, kLongestTick);
  timer_ = loop_.after(next, [this] { tick(); });
  detector_.busy(meter_.now(host_.load(), loop_.now()));
  carryOut(detector_.tick(loop_.now()));
  if (council_) tell(council_->tick(loop_.now()));
  disseminate();
  if (follower_) follow();
  lookAtRegister();
  lookAtTree();
  lookAround();
}

void Side::lookAround() {
  const auto standing = membership::standing(detector_, config_.voterNames(), led());
  if (standing != standing_)
    log_.line("membership.standing",
              fmt::format("{} was {} alive={}", membership::kStandingNames[static_cast<int>(standing)],
                          membership::kStandingNames[static_cast<int>(standing_)], detector_.alive()));
  standing_ = standing;
  const auto share = sharers_.now(detector_, loop_.now());
  if (share == share_) return;
  share_ = share;
  host_.shares(share);
}

void Side::leave() {
  if (datagrams_) carryOut(detector_.leave(loop_.now()));
  stop();
}

void Side::stop() {
  loop_.cancel(timer_);
  council_.reset();  // first: the process that takes the address over gives this voter's word from then on
  datagrams_.reset();
  streams_.reset();
}

std::optional<membership::Message> Side::read(std::string_view bytes) {
  auto read = decode(bytes, config_.fleet);
  if (auto* message = std::get_if<membership::Message>(&read)) return std::move(*message);
  switch (std::get<Unread>(read)) {
    case Unread::broken:
      ++counters_.broken;
      break;
    case Unread::foreign:
      ++counters_.foreign;
      break;
    case Unread::otherVersion:
      ++counters_.otherVersion;
      break;
  }
  return std::nullopt;
}

void Side::onDatagram(std::string_view bytes) {
  ++counters_.received;
  counters_.receivedBytes += bytes.size();
  const auto message = read(bytes);
  // Of what is asked for by stream, the answer is many times the question: never to an unproven address.
  if (message && message->kind == membership::Kind::agreement) return onAgreement(*message);
  if (message && message->kind == membership::Kind::dissemination) return onDissemination(*message);
  if (message && !membership::byStream(message->kind)) carryOut(detector_.received(*message, loop_.now()));
}

std::string Side::onStream(std::string_view bytes) {
  std::string reply;
  const auto message = read(bytes);
  if (!message) return reply;
  switch (message->kind) {
    case membership::Kind::agreement:
      onAgreement(*message);
      return reply;
    case membership::Kind::dissemination:
      onDissemination(*message);
      return reply;
    case membership::Kind::follow:
      return answerTo(*message);
    case membership::Kind::followReply:
      takeAnswer(*message);
      return reply;
    default:
      break;
  }
  if (membership::byStream(message->kind)) carryOut(detector_.received(*message, loop_.now()), &reply);
  return reply;
}

// `reply`: takes what answers a message that came by stream; it goes back on the same connection.
void Side::carryOut(membership::Step step, std::string* reply) {
  viewChanged_ = viewChanged_ || !step.changes.empty();
  for (const auto& change : step.changes) {
    const auto& r = change.record;
    log_.line(
        "membership.member",
        fmt::format("{} {} duty={} incarnation={} address={} zone={} version={}{} cause={}", r.name,
                    nameOf(r.state), nameOf(r.published.duty), r.incarnation, r.address, r.zone, r.version,
                    r.state == membership::State::suspect ? " by=" + r.by : "", change.cause));
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

void Side::send(const membership::Out& out) {
  if (!datagrams_ || !config::isAddress(out.to)) return;  // the others' word on where they hear
  const Poco::Net::SocketAddress to(out.to);
  const auto bytes = encode(out.message, config_.fleet);
  if (membership::byStream(out.message.kind)) return streams_->ask(to, bytes);
  if (bytes.size() > kMostDatagram) return streams_->tell(to, bytes);
  ++counters_.sent;
  counters_.sentBytes += bytes.size();
  if (!datagrams_->send(bytes, to)) ++counters_.unsent;
}

void Side::onAgreement(const membership::Message& message) {
  if (!council_) return;
  std::vector<Council::Out> out;
  if (!council_->received(message.sender, message.payload, loop_.now(), out)) ++counters_.votersDiffer;
  tell(out);
  handOn();
  lookAtRegister();
}

// What this voter has applied goes on at once.
void Side::handOn() {
  if (!council_ || !disseminator_ || council_->held().commands() == disseminator_->position().number) return;
  tell(disseminator_->agreed(council_->held(), council_->takeApplied(), council_->leader(), loop_.now()));
}

void Side::disseminate() {
  if (!disseminator_) return;
  const auto now = loop_.now();
  if (std::exchange(viewChanged_, false)) showView();
  if (council_)
    tell(disseminator_->agreed(council_->held(), council_->takeApplied(), council_->leader(), now));
  tell(disseminator_->tick(now));
}

void Side::showView() {
  std::vector<dissemination::Peer> view;
  for (const auto& [name, m] : detector_.view())
    view.push_back(
        {name, m.record.zone, m.record.state <= membership::State::suspect && disseminates(m.record)});
  disseminator_->sees(std::move(view));
}

void Side::onDissemination(const membership::Message& message) {
  if (!disseminator_) return;
  const bool known = detector_.view().contains(message.sender) ||
                     std::any_of(config_.voters.begin(), config_.voters.end(),
                                 [&](const config::Voter& v) { return v.name == message.sender; });
  if (!known || message.sender == config_.name) return void(++counters_.changesForeign);
  tell(disseminator_->received(message.sender, message.payload, loop_.now()));
  lookAtRegister();
  lookAtTree();
}

// As small as they can be: the receiver knows where the sender hears. Not to members from before them.
void Side::tell(const std::vector<dissemination::Out>& messages) {
  for (const auto& out : messages) {
    const auto at = detector_.view().find(out.to);
    if (at != detector_.view().end() && !disseminates(at->second.record)) continue;
    send({addressOf(out.to),
          membership::Message{
              .kind = membership::Kind::dissemination, .sender = config_.name, .payload = out.bytes}});
  }
}

bool Side::propose(const agreement::Command& command) {
  std::vector<Council::Out> out;
  if (!council_ || !council_->propose(command, loop_.now(), out)) return false;
  tell(out);
  handOn();
  lookAtRegister();
  return true;
}

// How far one who asks has this voter's register. Numbers of another generation tell nothing: after new
// voters' state one has none of it, and before it all there is. A member from before generations names none.
std::uint64_t Side::knownTo(const membership::Message& question) const {
  std::uint64_t generation = 0;
  const auto& text = question.payload;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), generation);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return question.sequence;
  const auto own = dissemination::positionOf(council_->held()).generation;
  if (generation == own) return question.sequence;
  return generation < own ? 0 : UINT64_MAX;
}

std::string Side::answerTo(const membership::Message& question) {
  if (!council_) return {};
  membership::Message answer{.kind = membership::Kind::followReply, .sender = config_.name};
  answer.from = config_.advertise;
  answer.payload =
      agreement::answerToFollower(council_->held(), !council_->leader().empty(), knownTo(question));
  return encode(answer, config_.fleet);
}

// Asks as members did before there was a tree, and only while that does not reach this one.
void Side::follow() {
  const auto now = loop_.now();
  if (disseminator_) {
    const auto age = disseminator_->age(now);
    if ((age < 0 ? now - startedAt_ : age) <= kStalePeriods * config_.period) follower_->rest(now);
    if (disseminator_->position() >= dissemination::positionOf(follower_->held())) follower_->drop();
  }
  const auto voter = follower_->tick(now);
  if (!voter || *voter == config_.name) return;
  membership::Message question{.kind = membership::Kind::follow, .sender = config_.name};
  question.from = config_.advertise;
  question.sequence = held().commands(), question.payload = std::to_string(position().generation);
  ++counters_.registerAsked;
  send({addressOf(*voter), std::move(question)});
}

void Side::takeAnswer(const membership::Message& answer) {
  if (!follower_) return;
  if (!follower_->take(answer.payload, loop_.now())) return void(++counters_.broken);
  if (!disseminator_ || dissemination::positionOf(follower_->held()) <= disseminator_->position()) return;
  ++counters_.registerTaken;
  tell(disseminator_->adopt(follower_->held(), loop_.now()));
}

// As it says itself; where it has not been met yet, as the file names it.
std::string Side::addressOf(const std::string& voter) const {
  if (const auto at = detector_.view().find(voter); at != detector_.view().end())
    return at->second.record.address;
  for (const auto& configured : config_.voters)
    if (configured.name == voter) return configured.address;
  return {};
}

// Where both ways have brought a register, the later one.
const agreement::Register& Side::held() const {
  if (council_) return council_->held();
  const bool tree =
      disseminator_ && disseminator_->position() >= dissemination::positionOf(follower_->held());
  return tree ? disseminator_->held() : follower_->held();
}

dissemination::Position Side::position() const {
  return keepsRegister() ? dissemination::positionOf(held()) : dissemination::Position{};
}

Nanos Side::registerAge() const {
  const auto now = loop_.now();
  const Nanos told = disseminator_ ? disseminator_->age(now) : -1;
  const Nanos asked = follower_ ? follower_->age(now) : -1;
  return told < 0 || asked < 0 ? std::max(told, asked) : std::min(told, asked);
}

// Also where no voter has ever vouched for anything: they may keep no register.
bool Side::led() const {
  return council_ ? !council_->leader().empty() : registerAge() <= kLedPeriods * config_.period;
}

// Small messages by datagram: what is lost is said again. Entries and snapshots that don't fit go by stream.
void Side::tell(const std::vector<Council::Out>& messages) {
  for (const auto& out : messages) {
    membership::Message message{.kind = membership::Kind::agreement, .sender = config_.name};
    message.from = config_.advertise, message.payload = out.bytes;
    send({addressOf(out.to), std::move(message)});
  }
}

void Side::lookAtRegister() {
  if (!keepsRegister()) return;
  if (council_ && worked_ && !council_->works()) {
    worked_ = false;
    log_.line("membership.state_failed",
              config_.state + ": it can't be written; no part is taken in agreement");
  }
  const auto* role = held().find(Council::kCoordinator);
  auto now = role ? fmt::format("{} fence={}", role->value, role->fence) : std::string();
  if (now == coordinator_) return;
  coordinator_ = std::move(now);
  log_.line("membership.coordinator", coordinator_);
}

void Side::lookAtTree() {
  if (!disseminator_) return;
  if (const auto& parent = disseminator_->parent(); parent != parent_) {
    log_.line("membership.parent", fmt::format("{} was {}", orDash(parent), orDash(parent_)));
    parent_ = parent;
  }
  if (const auto diverged = disseminator_->counters().diverged; diverged > diverged_) {
    log_.line("membership.diverged", fmt::format("count={} parent={}", diverged, orDash(parent_)));
    diverged_ = diverged;
  }
  const auto age = registerAge();
  const bool stale = age > kStalePeriods * config_.period;
  if (stale == stale_) return;
  stale_ = stale;
  log_.line(stale ? "membership.stale" : "membership.fresh",
            fmt::format("age={} position={}", ageText(age), show(position())));
}

std::string Side::registered() const {
  if (!keepsRegister()) return "NAK this member keeps no register yet\n";
  std::string out = fmt::format(
      "ACK commands={} {}\n", held().commands(),
      council_ ? "voter" : fmt::format("follows age={} parent={}", ageText(registerAge()), orDash(parent_)));
  for (const auto& [key, value] : held().all())
    out += fmt::format("{} fence={} {}\n", key, value.fence, value.value);
  return out;
}

std::optional<std::string> Side::answer(std::string_view line) const {
  constexpr std::string_view kMembers = "members", kExplain = "members explain ",
                             kRegister = "members register";
  if (line == kMembers) return table();
  if (line == kRegister) return registered();
  if (line.starts_with(kExplain)) return explain(std::string(line.substr(kExplain.size())));
  return std::nullopt;
}

// A head, then a line a member; words are parted by blanks, and no text of a member holds one. An empty one
// is shown as "-".
std::string Side::table() const {
  const auto now = loop_.now();
  std::string out =
      fmt::format("ACK self={} fleet={} standing={} alive={} known={} doubts={}{}{}\n", config_.name,
                  config_.fleet, membership::kStandingNames[static_cast<int>(standing_)], detector_.alive(),
                  detector_.view().size(), detector_.health(),
                  council_ ? fmt::format(" leader={} term={} decided={}", orDash(council_->leader()),
                                         council_->term(), council_->held().commands())
                           : std::string(),
                  inForce());
  for (const auto& [name, m] : detector_.view())
    out += fmt::format("{} {} {} {:.0f} {} {} {} {} {} {}\n", name, nameOf(m.record.state),
                       nameOf(m.record.published.duty), seconds(now - m.since), m.record.incarnation,
                       orDash(m.record.zone), orDash(m.record.version), orDash(m.record.address), m.load.open,
                       m.load.refusedPermille);
  return out;
}

// Words of the head: where this one's register stands, and by a voter what all have that are counted below
// it.
std::string Side::inForce() const {
  if (!disseminator_ || !keepsRegister()) return {};
  std::string out =
      fmt::format(" position={} age={} parent={}", show(position()), ageText(registerAge()), orDash(parent_));
  if (!council_) return out;
  const auto all = disseminator_->inForce();
  out += fmt::format(" in_force={} members={} level={}", show(all.low), all.members, all.level);
  for (const auto& slow : all.slowest) out += fmt::format(" behind={}:{}", show(slow.at), slow.name);
  return out;
}

std::string Side::explain(const std::string& name) const {
  const auto at = detector_.view().find(name);
  if (at == detector_.view().end()) return "NAK no member has the name " + name + "\n";
  const auto& m = at->second;
  const auto now = loop_.now();
  std::string out =
      fmt::format("ACK {} is {} for {:.1f} s\n", name, nameOf(m.record.state), seconds(now - m.since));
  const bool self = name == config_.name;
  out += fmt::format("why: {}\n", self ? "it is the one that was asked" : m.cause);
  if (m.record.state == membership::State::suspect)
    out += fmt::format("probed in vain by: {}\n", m.record.by);
  if (!self)
    out += m.heardAt > 0 ? fmt::format("heard directly: {:.1f} s ago\n", seconds(now - m.heardAt))
                         : std::string("heard directly: never\n");
  out +=
      fmt::format("says of itself: {} (revision {}, incarnation {}) at {}\n", nameOf(m.record.published.duty),
                  m.record.published.revision, m.record.incarnation, m.record.address);
  out += fmt::format("own doubts of {}: {} of {}\n", config_.name, detector_.health(),
                     detector_.settings().worstHealth);
  return out;
}

std::string Side::print() const {
  const auto line = [](const char* name, std::uint64_t value) { return fmt::format("{} {}\n", name, value); };
  const auto& c = counters_;
  const auto changes = disseminator_ ? disseminator_->counters() : dissemination::Counters{};
  const auto all = disseminator_ ? disseminator_->inForce() : dissemination::InForce{};
  const auto age = registerAge();
  return line("members_alive", detector_.alive()) + line("members_known", detector_.view().size()) +
         line("membership_standing", static_cast<std::uint64_t>(standing_)) +
         line("membership_doubts", static_cast<std::uint64_t>(detector_.health())) +
         line("membership_sent", c.sent) + line("membership_sent_bytes", c.sentBytes) +
         line("membership_received", c.received) + line("membership_received_bytes", c.receivedBytes) +
         line("membership_broken", c.broken) + line("membership_foreign", c.foreign) +
         line("membership_other_version", c.otherVersion) + line("membership_voters_differ", c.votersDiffer) +
         line("membership_leads", council_ && council_->leads()) +
         line("membership_decided", council_ ? council_->held().commands() : 0) +
         line("membership_unsent", c.unsent) +
         line("membership_streams_broken", streams_ ? streams_->broken() : 0) +
         line("register_generation", position().generation) + line("register_position", position().number) +
         fmt::format("register_age_ms {}\n", age < 0 ? -1 : age / kMs) +
         line("register_members", all.members) + line("register_level", all.level) +
         line("register_low", all.low.number) + line("register_asked", c.registerAsked) +
         line("register_taken", c.registerTaken) + line("changes_applied", changes.changesApplied) +
         line("snapshots_taken", changes.snapshotsTaken) + line("changes_sent", changes.sent) +
         line("changes_sent_bytes", changes.sentBytes) + line("changes_received", changes.received) +
         line("changes_received_bytes", changes.receivedBytes) + line("changes_deferred", changes.deferred) +
         line("changes_broken", changes.broken) + line("changes_foreign", c.changesForeign) +
         line("changes_repeated", changes.repeated) + line("changes_diverged", changes.diverged) +
         line("parents_left", changes.parentsLeft) +
         line("children", disseminator_ ? disseminator_->children() : 0) +
         line("children_turned_away", changes.turnedAway);
}

}  // namespace topazweir::fleet

#include "fleet/side.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>

namespace topazweir::fleet {

namespace {

constexpr std::size_t kMostDatagram = 1300;  // bytes; passes every usual link whole
constexpr Nanos kOpenAgain = 100'000'000;
constexpr Nanos kTicksAPeriod = 10;
// Between two looks at a voter's register, by a connection each: 300 members make 20 a second at each of
// three voters.
constexpr Nanos kFollowPeriods = 5;
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

const char* nameOf(membership::State state) { return membership::kStateNames[static_cast<int>(state)]; }
const char* nameOf(membership::Duty duty) { return membership::kDutyNames[static_cast<int>(duty)]; }

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

}  // namespace

Side::Side(net::Loop& loop, broker::Log& log, const config::Membership& config, const std::string& version,
           std::uint64_t seed, membership::Share usual, Host& host)
    : loop_(loop),
      log_(log),
      config_(config),
      host_(host),
      detector_(settingsOf(config, seed),
                membership::Record{config.name, config.advertise, config.zone, version}),
      sharers_(kSettleSyncs * config.syncEvery, usual.count),
      share_(usual),
      seed_(seed) {
  if (!config_.votes()) follower_.emplace(config_.voterNames(), kFollowPeriods * config_.period);
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
  tick();
}

void Side::tick() {
  timer_ = loop_.after(std::max<Nanos>(1, config_.period / kTicksAPeriod), [this] { tick(); });
  detector_.busy(meter_.now(host_.load(), loop_.now()));
  carryOut(detector_.tick(loop_.now()));
  if (council_) tell(council_->tick(loop_.now()));
  if (follower_) follow();
  lookAtRegister();
  lookAround();
}

void Side::lookAround() {
  const bool led = council_ ? !council_->leader().empty() : !follower_ || follower_->led(loop_.now());
  const auto standing = membership::standing(detector_, config_.voterNames(), led);
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
    case membership::Kind::follow:
      return answerTo(*message);
    case membership::Kind::followReply:
      if (follower_ && !follower_->take(message->payload, loop_.now())) ++counters_.broken;
      return reply;
    default:
      break;
  }
  if (membership::byStream(message->kind)) carryOut(detector_.received(*message, loop_.now()), &reply);
  return reply;
}

// `reply`: takes what answers a message that came by stream; it goes back on the same connection.
void Side::carryOut(membership::Step step, std::string* reply) {
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
  lookAtRegister();
}

bool Side::propose(const agreement::Command& command) {
  std::vector<Council::Out> out;
  if (!council_ || !council_->propose(command, loop_.now(), out)) return false;
  tell(out);
  lookAtRegister();
  return true;
}

std::string Side::answerTo(const membership::Message& question) {
  if (!council_) return {};
  membership::Message answer{.kind = membership::Kind::followReply, .sender = config_.name};
  answer.from = config_.advertise;
  answer.payload =
      agreement::answerToFollower(council_->held(), !council_->leader().empty(), question.sequence);
  return encode(answer, config_.fleet);
}

void Side::follow() {
  const auto voter = follower_->tick(loop_.now());
  if (!voter || *voter == config_.name) return;
  membership::Message question{.kind = membership::Kind::follow, .sender = config_.name};
  question.from = config_.advertise, question.sequence = follower_->held().commands();
  send({addressOf(*voter), std::move(question)});
}

// As it says itself; where it has not been met yet, as the file names it.
std::string Side::addressOf(const std::string& voter) const {
  if (const auto at = detector_.view().find(voter); at != detector_.view().end())
    return at->second.record.address;
  for (const auto& configured : config_.voters)
    if (configured.name == voter) return configured.address;
  return {};
}

const agreement::Register& Side::held() const { return council_ ? council_->held() : follower_->held(); }

// Small messages by datagram: what is lost is said again. Entries and snapshots that don't fit go by stream.
void Side::tell(const std::vector<Council::Out>& messages) {
  for (const auto& out : messages) {
    membership::Message message{.kind = membership::Kind::agreement, .sender = config_.name};
    message.from = config_.advertise, message.payload = out.bytes;
    send({addressOf(out.to), std::move(message)});
  }
}

void Side::lookAtRegister() {
  if (!council_ && !follower_) return;
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

std::string Side::registered() const {
  if (!council_ && !follower_) return "NAK this member keeps no register yet\n";
  std::string out = fmt::format("ACK commands={} {}\n", held().commands(), council_ ? "voter" : "follows");
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
  const auto text = [](const std::string& word) { return word.empty() ? "-" : word; };
  std::string out =
      fmt::format("ACK self={} fleet={} standing={} alive={} known={} doubts={}{}\n", config_.name,
                  config_.fleet, membership::kStandingNames[static_cast<int>(standing_)], detector_.alive(),
                  detector_.view().size(), detector_.health(),
                  council_ ? fmt::format(" leader={} term={} decided={}", text(council_->leader()),
                                         council_->term(), council_->held().commands())
                           : std::string());
  for (const auto& [name, m] : detector_.view())
    out += fmt::format("{} {} {} {:.0f} {} {} {} {} {} {}\n", name, nameOf(m.record.state),
                       nameOf(m.record.published.duty), seconds(now - m.since), m.record.incarnation,
                       text(m.record.zone), text(m.record.version), text(m.record.address), m.load.open,
                       m.load.refusedPermille);
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
         line("membership_streams_broken", streams_ ? streams_->broken() : 0);
}

}  // namespace topazweir::fleet

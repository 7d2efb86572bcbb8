// `topazweir run`.
#include "cli/serve.hpp"

#include <Poco/Exception.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

#include "cli/signals.hpp"
#include "cli/version.hpp"
#include "config/config.hpp"
#include "config/reader.hpp"
#include "net/inherited_socket.hpp"

namespace topazweir::cli {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSignalPollInterval = 20 * kMs;
// Time after SIGTERM during which new clients are accepted: they keep coming until the load balancer in front
// has seen the change of /up. A request that arrives later than 700 ms after the signal would have to be
// answered before the kill, earlier than its deadline asks for, so accepting ends slightly before that.
constexpr Nanos kAcceptAfterTerm = 650 * kMs;
// The platform kills the process no earlier than kMinTimeToKill plus the longest deadline after SIGTERM,
// where at most kMaxCountedDeadline of that deadline counts.
constexpr Nanos kMinTimeToKill = 700 * kMs;
constexpr Nanos kMaxCountedDeadline = 3000 * kMs;
// Requests still open this long before the kill get their final answer then.
constexpr Nanos kFinalAnswersBeforeKill = 250 * kMs;
// Time after that for writing these answers.
constexpr Nanos kFinalWriteTime = 150 * kMs;
// As kAcceptAfterTerm, if a successor process accepts on the same socket: connections that are idle then will
// stay idle, and requests that arrived before have time to be finished.
constexpr Nanos kIdleAfterTerm = 600 * kMs;
constexpr Nanos kShutdownPollInterval = 10 * kMs;
// After a drain the load balancer polls /up every 100 ms and sends new connections for up to 200 ms more. If
// connections were closed earlier, clients would reconnect to this process.
constexpr Nanos kCloseConnectionsAfterDrain = 400 * kMs;
constexpr std::size_t kMaxOperatorConnections = 24;
constexpr Nanos kMemoryWatchInterval = 50 * kMs;
// A loop that is later than this is logged: other clients wait as long.
constexpr Nanos kLoggedLag = 100 * kMs;

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

std::string counterLine(const std::string& name, std::uint64_t value) {
  return name + ' ' + std::to_string(value) + '\n';
}

std::string connectionCounters(const http::Server& server, const std::string& prefix) {
  return print(server.counters(), prefix) + counterLine(prefix + "connections", server.connections()) +
         counterLine(prefix + "lingering", server.lingering());
}

// The resident size of this process in KiB; 0 if it cannot be read.
std::uint64_t residentKib() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (!(statm >> total >> resident)) return 0;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

// Large buffers are mapped and unmapped by themselves, and free memory at the top of the heap goes back to
// the system: otherwise the process keeps what one flood has needed, and the next one adds to it.
void configureAllocator() {
  constexpr int kMappedBytes = 64 * 1024;
  constexpr int kKeptBytes = 128 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

std::string processCounters(const memory::Budget& buffers) {
  return counterLine("buffers_held_bytes", buffers.held()) +
         counterLine("buffers_limit_bytes", buffers.limit()) +
         counterLine("buffers_peak_bytes", buffers.peak()) + counterLine("resident_kib", residentKib());
}

std::vector<snmp::NodeRow> nodeRows(const platform::Directory& directory) {
  std::vector<snmp::NodeRow> rows;
  for (const auto& [id, node] : directory.all())
    rows.push_back({static_cast<long>(id), node.entry.instance, node.entry.state, node.entry.cell,
                    node.entry.startedAt});
  return rows;
}

snmp::OperationFigures operationFigures(const ops::OperatorService& side) {
  const auto lines = side.lines();
  return {lines.lines, side.refused(), lines.dropped, side.operation().holds().countOut(),
          side.operation().drained()};
}

snmp::MembershipFigures membershipFigures(const fleet::FleetService& side) {
  const auto& c = side.counters();
  const auto& detector = side.detector();
  snmp::MembershipFigures out{detector.alive(),
                              static_cast<std::size_t>(detector.health()),
                              static_cast<int>(side.standing()) + 1,
                              c.sent,
                              c.received,
                              c.broken + c.foreign + c.otherVersion,
                              c.votersDiffer,
                              side.raftGroup() ? side.raftGroup()->held().commands() : 0,
                              side.raftGroup() && side.raftGroup()->leads(),
                              {},
                              {}};
  if (const auto age = side.registerAge(); age >= 0) out.held.ageMs = static_cast<std::uint64_t>(age / kMs);
  out.held.position = side.position().number;
  if (const auto* disseminator = side.disseminator()) {
    const auto all = disseminator->inForce();
    out.held.low = all.low.number;
    out.held.counted = all.members;
    out.held.level = all.level;
  }
  for (const auto& [name, m] : detector.view())
    out.members.push_back({name, m.record.address, m.record.zone, m.record.version,
                           static_cast<int>(m.record.state) + 1,
                           static_cast<int>(m.record.published.duty) + 1, m.record.incarnation, m.load.open,
                           m.load.refusedPermille});
  return out;
}

snmp::ConnectionFigures connectionFigures(const http::Server& server, const memory::Budget& buffers) {
  const auto& c = server.counters();
  std::uint64_t rejected = 0;
  for (const auto& [status, count] : c.rejected) rejected += count;
  return {server.connections(), rejected,      c.unfinishedShed, c.refusedAhead, c.idleClosed,
          c.stalledClosed,      c.clientsLeft, buffers.held(),   buffers.peak(), buffers.limit()};
}

snmp::CallFigures callFigures(const grpc::GrpcService& side) {
  const auto& f = side.front().counters();
  const auto c = side.counters();
  snmp::CallFigures out{f.calls,
                        f.malformed,
                        f.unrouted,
                        f.shed,
                        f.cancelled,
                        f.floods,
                        f.health,
                        f.cutAtDrain,
                        c.answered,
                        c.refused,
                        c.failed,
                        c.furtherAttempts,
                        side.open(),
                        side.front().connections(),
                        side.front().streams(),
                        side.front().buffers().held(),
                        {}};
  for (int code = 0; code < calls::kStatusCodeCount; ++code)
    out.statuses.push_back({std::string(calls::nameOf(static_cast<calls::Code>(code))),
                            f.statuses[static_cast<std::size_t>(code)]});
  return out;
}

}  // namespace

std::optional<config::PlatformConfig> readPlatform(const Options& options) {
  if (!options.platformText.empty()) return config::read(options.platformText);
  const auto file = options.config.empty() ? environment("NODE_CONFIG") : options.config;
  if (file.empty()) return std::nullopt;
  auto out = config::read(config::readFile(file));
  const auto overrideAddress = [](const char* key, std::string& to) {
    const auto value = environment(key);
    if (value.empty()) return;
    if (!config::isAddress(value))
      throw config::ConfigError(std::string("key ") + key +
                                ": not an address and port such as 127.0.0.1:8080");
    to = value;
  };
  overrideAddress("NODE_LISTEN", out.listen);
  overrideAddress("NODE_OPS", out.ops);
  if (const auto text = environment("NODE_SOCKET_FD"); !text.empty()) {
    int descriptor = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), descriptor);
    if (error != std::errc{} || end != text.data() + text.size() || descriptor < 0)
      throw config::ConfigError("key NODE_SOCKET_FD: not a file descriptor number: " + text);
    out.listener = descriptor;
  }
  return out;
}

config::OperatorConfig readOperatorFiles(const Options& options, const config::PlatformConfig& platform) {
  config::OperatorConfig out;
  if (!options.operatorText.empty()) out = config::readOperator(options.operatorText, "demo", platform);
  if (!options.operatorFile.empty())
    out = config::readOperator(config::readFile(options.operatorFile), options.operatorFile, platform);
  const auto checkNotGivenTwice = [](bool inOperatorFile, const char* key, const char* option) {
    if (inOperatorFile)
      throw config::ConfigError(std::string("key ") + key + ": given both in the operator file and by " +
                                option);
  };
  if (!options.features.empty()) {
    checkNotGivenTwice(out.features.has_value(), "features", "--features");
    out.features = config::readFeatures(config::readFile(options.features), platform);
  }
  if (!options.snmp.empty()) {
    checkNotGivenTwice(out.snmp.has_value(), "snmp", "--snmp");
    out.snmp = config::readSnmp(config::readFile(options.snmp));
  }
  return out;
}

Program::Program(net::Loop& loop, const Options& options)
    : options_(options),
      loop_(loop),
      platformConfig_(readPlatform(options)),
      base_(platformConfig_ ? *platformConfig_ : config::standalone(std::random_device{}())),
      operator_(readOperatorFiles(options_, base_)),
      writer_(operator_.log),
      log_([this](auto event, auto text) { writer_.write(event, text); }, [this] { return loop_.now(); }) {
  if (!platformConfig_ && !operator_.features && !operator_.grpc)
    throw config::ConfigError("nothing to serve: NODE_CONFIG is not set, and no operator file names a front");
  configureAllocator();
  applyMemoryLimits();
  if (platformConfig_) startPlatform();
  if (operator_.features) features_.emplace(loop_, log_, *operator_.features);
  if (operator_.grpc) grpc_.emplace(loop_, log_, *operator_.grpc);
  if (operator_.membership) startMembership();
  if (operator_.snmp)
    snmp_.emplace(loop_, log_, *operator_.snmp, [this] {
      const auto* broker = platform_   ? &platform_->broker()
                           : features_ ? &features_->broker()
                                       : &grpc_->core().broker();
      const auto rows = platform_ ? nodeRows(platform_->directory()) : std::vector<snmp::NodeRow>{};
      snmp::Parts parts;
      if (grpc_) parts.calls = callFigures(*grpc_);
      if (ops_) parts.operation = operationFigures(*ops_);
      if (fleet_) parts.membership = membershipFigures(*fleet_);
      if (platform_ || features_)
        parts.connections =
            connectionFigures(platform_ ? platform_->front().server() : features_->server(), loop_.buffers());
      return snmp::takeSnapshot(*broker, rows, parts);
    });
  log_.line("started", base_.name + (platform_ ? " listen=" + base_.listen : "") +
                           (grpc_ ? " grpc=" + grpc_->front().address().toString() : "") +
                           (features_ ? " features=" + features_->server().address().toString() : ""));
  pollSignals();
  watchMemory();
}

void Program::applyMemoryLimits() {
  residentLimit_.setLimits(config::memoryLimit(base_), config::bufferLimit(base_));
  loop_.buffers().setLimit(config::bufferLimit(base_));
}

void Program::watchMemory() {
  const auto decision = residentLimit_.decide(residentKib() * 1024, loop_.buffers().held(), loop_.now());
  if (decision.trim) ::malloc_trim(0);
  if (decision.bufferLimit != loop_.buffers().limit())
    log_.line("memory.buffer_limit", "bytes=" + std::to_string(decision.bufferLimit) +
                                         " held=" + std::to_string(loop_.buffers().held()) +
                                         " resident_kib=" + std::to_string(residentKib()));
  loop_.buffers().setLimit(decision.bufferLimit);
  loop_.after(kMemoryWatchInterval, [this] { watchMemory(); });
}

void Program::startPlatform() {
  auto& config = *platformConfig_;
  if (config.listener)
    if (const auto fault = net::checkInheritedSocket(*config.listener))
      throw config::ConfigError("key NODE_SOCKET_FD: descriptor " + std::to_string(*config.listener) + " " +
                                *fault);
  // State is handed over between processes of one aggregator only if the platform passes its listening socket
  // from one to the next.
  const auto folder = environment("TMPDIR");
  ops::Options options{config.name, config.terms.settings.warmUpTime, std::nullopt};
  if (config.listener && !folder.empty()) options.folder = folder;
  if (config.listener && folder.empty()) log_.line("state.off", "TMPDIR is not set: no state is handed over");
  ops_.emplace(loop_, log_, options);
  auto inherited = config;
  if (!ops_->inheritedList().empty()) inherited.known = ops_->inheritedList();
  platform::OperationHooks operated;
  operated.holds = &ops_->operation().holds();
  if (options.folder)
    operated.sent = [this](const auto& leaf, Nanos startedAt) { ops_->sent(leaf, startedAt); };
  operated.listener = config.listener;
  operated.accepts = false;
  const auto operatorConnections = std::clamp<std::size_t>(config.sockets / 16, 4, kMaxOperatorConnections);
  operated.reservedDescriptors = config.ops.empty() ? 0 : operatorConnections;
  platform_.emplace(
      loop_, log_, std::move(inherited), [this] { return counters(); }, std::move(operated));
  try {
    ops_->run(*this, config.ops, operatorConnections);
  } catch (const Poco::Exception& error) {
    throw config::ConfigError("key ops: cannot listen on " + config.ops + ": " + error.displayText());
  }
}

void Program::startMembership() {
  const auto& settings = base_.terms.settings;
  const auto seed = std::random_device{}();  // differs from the seed of the preceding process
  fleet_.emplace(loop_, log_, *operator_.membership, kVersion, seed,
                 membership::Share{settings.aggregators, settings.number}, static_cast<fleet::Host&>(*this));
  fleet_->start();
  if (!ops_ || ops_->operation().phase() == operation::Phase::serving) clientsChanged();
}

std::optional<std::string> Program::answer(std::string_view line) const {
  return fleet_ ? fleet_->answer(line) : std::nullopt;
}

membership::LoadMeter::Totals Program::load() const {
  membership::LoadMeter::Totals out;
  const auto add = [&](const broker::Broker& broker) {
    const auto& c = broker.counters();
    out.open += broker.open();
    out.taken += c.taken;
    out.refused += c.refused;
  };
  if (platform_) add(platform_->broker());
  if (features_) add(features_->broker());
  if (grpc_) {
    out.open += grpc_->open();
    out.taken += grpc_->counters().taken;
    out.refused += grpc_->counters().refused;
  }
  return out;
}

void Program::shares(const membership::Share& share) {
  log_.line("membership.share",
            "of=" + std::to_string(share.count) + " number=" + std::to_string(share.number));
  if (platform_) platform_->fleet(share.count, share.number);
}

bool Program::listed(std::string_view instance) const {
  return platform_->directory().find(instance) != nullptr;
}

void Program::moved(const std::vector<std::string>& leafs) { platform_->moved(leafs); }

void Program::recordSendByOtherProcess(const operation::ColdSends::Send& send) {
  platform_->recordSendByOtherProcess(send.instance, send.at);
}

operation::Readiness Program::prepare(bool follows) {
  // Without a predecessor, connections are made on demand.
  if (follows) platform_->pool().connectAll();
  return {platform_->listTold() || !ops_->inheritedList().empty(), platform_->pool().settled()};
}

void Program::clientsChanged() {
  if (fleet_ && !shuttingDown_)
    fleet_->says(ops_ && ops_->operation().drained() ? membership::Duty::draining
                                                     : membership::Duty::serving);
  if (!platform_) return;
  platform_->front().up(ops_->takesClients());
  if (shuttingDown_) return;
  auto& server = platform_->front().server();
  loop_.cancel(closeConnectionsTimer_);
  if (ops_->operation().drained()) {
    closeConnectionsTimer_ = loop_.after(kCloseConnectionsAfterDrain, [this] { closeClientConnections(); });
  } else {
    server.setCloseAfterResponse(false);
    server.setCloseIdle(false);
  }
}

void Program::closeClientConnections() {
  auto& server = platform_->front().server();
  log_.line("operation.drained", "connections=" + std::to_string(server.connections()));
  server.setCloseAfterResponse(true);
  server.setCloseIdle(true);
}

void Program::reload() {
  if (platform_) reloadPlatform();
  reloadOperatorFiles();
}

// The file is read completely before anything is applied, so a faulty file changes nothing.
void Program::reloadPlatform() {
  try {
    auto fresh = readPlatform(options_);
    if (!fresh) return;
    for (const auto& key : platform_->reload(std::move(*fresh)))
      log_.line("config.needs_restart", "key " + key);
    base_ = platform_->config();
    applyMemoryLimits();
    log_.line("config.reread", base_.name + " discovery=" + base_.discovery);
  } catch (const config::ConfigError& error) {
    log_.line("config.reread_failed", error.what());
  }
}

void Program::reloadOperatorFiles() {
  if (options_.operatorFile.empty() && options_.features.empty()) return;
  const bool featuresFileOnly = options_.operatorFile.empty();
  try {
    auto fresh = readOperatorFiles(options_, base_);
    if (features_) {
      if (!fresh.features) throw config::ConfigError("key features: removed; that needs a restart");
      const auto same = [](const auto& a, const auto& b) { return a.name == b.name; };
      const auto& running = features_->config().groups;
      const auto& groups = fresh.features->groups;
      if (!std::equal(running.begin(), running.end(), groups.begin(), groups.end(), same))
        throw config::ConfigError("key features.groups: changed; that needs a restart");
    }
    if (features_.has_value() != fresh.features.has_value() || grpc_.has_value() != fresh.grpc.has_value() ||
        snmp_.has_value() != fresh.snmp.has_value())
      log_.line("operator.needs_restart",
                "key " + std::string("features, grpc or snmp: a block was added or removed"));
    if (operator_.membership != fresh.membership) log_.line("operator.needs_restart", "key membership");
    // Nothing below can fail, so a reload is applied completely or not at all.
    writer_.use(fresh.log);
    if (features_) features_->updateServers(fresh.features->groups);
    if (grpc_ && fresh.grpc)
      for (const auto& key : grpc_->reload(std::move(*fresh.grpc)))
        log_.line("operator.needs_restart", "key " + key);
    log_.line(featuresFileOnly ? "features.reread" : "operator.reread",
              featuresFileOnly ? options_.features : options_.operatorFile);
  } catch (const config::ConfigError& error) {
    log_.line(featuresFileOnly ? "features.reread_failed" : "operator.reread_failed", error.what());
  }
}

std::string Program::counters() {
  std::string out;
  if (platform_) {
    const auto& broker = platform_->broker();
    const auto line = [&](const char* name, std::uint64_t value) {
      out += std::string(name) + ' ' + std::to_string(value) + '\n';
    };
    out = print(broker.counters());
    line("open", broker.open());
    line("held", broker.held());
    line("node_connections", platform_->pool().connections());
    line("node_connections_opened", platform_->pool().opened());
    line("shards_without_holder", platform_->unserved().size());
    out += ops_->print();
  }
  if (platform_) out += connectionCounters(platform_->front().server(), "http_");
  if (fleet_) out += fleet_->print();
  if (features_) out += print(features_->broker().counters(), "features_");
  if (features_) out += connectionCounters(features_->server(), "features_http_");
  if (grpc_) out += grpc_->print("grpc_");
  return out + processCounters(loop_.buffers());
}

void Program::pollSignals() {
  if (const Nanos lag = loop_.takeLongestLag(); lag >= kLoggedLag)
    log_.line("loop.lagged", "ms=" + std::to_string(lag / kMs));
  for (const int signal : takePendingSignals()) {
    if (signal == SIGUSR1) {
      std::cerr << counters() << std::flush;
    } else if (signal == SIGHUP) {
      reload();
    } else if (!shuttingDown_) {
      drain();
    }
  }
  loop_.after(kSignalPollInterval, [this] { pollSignals(); });
}

void Program::drain() {
  if (shuttingDown_) return;
  shuttingDown_ = true;
  const auto open = (platform_ ? platform_->broker().open() : 0) + (grpc_ ? grpc_->open() : 0) +
                    (features_ ? features_->broker().open() : 0);
  log_.line("draining", "open=" + std::to_string(open));
  const bool hasSuccessor = ops_ && ops_->followed();
  if (ops_) {
    ops_->ends();
    platform_->front().up(ops_->takesClients());
    auto& server = platform_->front().server();
    server.setCloseIdle(false);
    // The successor accepts on the same socket; connections kept open here are closed with their next answer.
    if (hasSuccessor) {
      server.setCloseAfterResponse(true);
      server.stopListening(true);
    }
  }
  if (platform_) {
    Nanos longest = 0;
    for (const auto& c : platform_->config().terms.settings.classes) longest = std::max(longest, c.deadline);
    answeredBy_ =
        loop_.now() + std::min(longest, kMaxCountedDeadline) + kMinTimeToKill - kFinalAnswersBeforeKill;
    setShutdownDeadline(answeredBy_);
  }
  if (fleet_) hasSuccessor ? fleet_->stop() : fleet_->says(membership::Duty::leaving);
  if (grpc_) grpc_->front().drain();
  loop_.after(hasSuccessor ? kIdleAfterTerm : kAcceptAfterTerm, [this] { finishShutdown(); });
}

// The platform kills the process as a whole, so its time holds for every front.
void Program::setShutdownDeadline(Nanos at) {
  platform_->setShutdownDeadline(at);
  if (features_) features_->setShutdownDeadline(at);
  if (grpc_) grpc_->setShutdownDeadline(at);
}

void Program::stopAccepting(bool rejectUnfinished) {
  const auto stop = [&](http::Server& server) {
    server.stopAccepting();
    if (rejectUnfinished) server.rejectUnfinished();
  };
  if (platform_) stop(platform_->front().server());
  if (features_) stop(features_->server());
  if (grpc_) grpc_->front().stopAccepting();
}

bool Program::quiet() const {
  return (!platform_ || platform_->quiet()) && (!features_ || features_->quiet()) &&
         (!grpc_ || grpc_->front().quiet());
}

std::size_t Program::clientConnections() const {
  return (platform_ ? platform_->front().server().connections() : 0) +
         (features_ ? features_->server().connections() : 0) + (grpc_ ? grpc_->front().connections() : 0);
}

// Polled after drain(): stops the loop once every accepted request is answered, and the answers are written
// completely and read by the clients. With the platform's part it stops at the latest before the platform
// kills the process.
void Program::finishShutdown() {
  const bool late = platform_ && loop_.now() >= answeredBy_;
  stopAccepting(late);
  const bool idle = quiet();
  if (idle || (late && loop_.now() >= answeredBy_ + kFinalWriteTime)) {
    if (!idle) log_.line("ended_with_open", "clients=" + std::to_string(clientConnections()));
    std::cerr << counters() << std::flush;
    if (fleet_) fleet_->leave();
    if (ops_) ops_->ended();
    log_.line("stopped", base_.name);
    return loop_.stop();
  }
  loop_.after(kShutdownPollInterval, [this] { finishShutdown(); });
}

int run(const Options& options) {
  net::Loop loop;
  Program program(loop, options);
  loop.run();
  return kSucceeded;
}

}  // namespace topazweir::cli

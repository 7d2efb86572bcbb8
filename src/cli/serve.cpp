#include "cli/serve.hpp"

#include <Poco/Exception.h>
#include <signal.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
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
constexpr Nanos kSignalPoll = 20 * kMs;
// After SIGTERM new clients keep coming until the layer in front has seen /up turn. What comes later than
// 700 ms after the signal has to be answered before the process is killed, so all ends a little sooner.
constexpr Nanos kAcceptAfterTerm = 650 * kMs;
// The kill comes no sooner than this and the longest deadline after the signal, of which no more than
// kCounted counts. Whatever is open so long before it gets its final answer then, and has kLastWords to be
// written.
constexpr Nanos kKillAfter = 700 * kMs, kCounted = 3000 * kMs, kBeforeKill = 250 * kMs,
                kLastWords = 150 * kMs;
// With a younger process in its place there is nobody to wait for: what is idle then is idle for good, and
// what came before has the time to be finished.
constexpr Nanos kIdleAfterTerm = 600 * kMs;
constexpr Nanos kEndPoll = 10 * kMs;
// After a drain the layer in front asks /up each 100 ms and sends new connections for 200 ms more: ended
// sooner, connections would come back here.
constexpr Nanos kSendAwayAfter = 400 * kMs;
constexpr std::size_t kMostOpsPlaces = 24;

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

std::vector<snmp::NodeRow> nodeRows(const platform::Directory& directory) {
  std::vector<snmp::NodeRow> rows;
  for (const auto& [id, node] : directory.all())
    rows.push_back({static_cast<long>(id), node.entry.instance, node.entry.state, node.entry.cell,
                    node.entry.startedAt});
  return rows;
}

snmp::OperationFigures operationFigures(const ops::Side& side) {
  const auto lines = side.lines();
  return {lines.lines, side.refused(), lines.dropped, side.operation().holds().countOut(),
          side.operation().drained()};
}

snmp::MembershipFigures membershipFigures(const fleet::Side& side) {
  const auto& c = side.counters();
  const auto& detector = side.detector();
  snmp::MembershipFigures out{detector.alive(),
                              static_cast<std::size_t>(detector.health()),
                              static_cast<int>(side.standing()) + 1,
                              c.sent,
                              c.received,
                              c.broken + c.foreign + c.otherVersion,
                              c.votersDiffer,
                              side.council() ? side.council()->held().commands() : 0,
                              side.council() && side.council()->leads(),
                              {},
                              {}};
  if (const auto age = side.registerAge(); age >= 0) out.held.ageMs = static_cast<std::uint64_t>(age / kMs);
  out.held.position = side.position().number;
  if (const auto* disseminator = side.disseminator()) {
    const auto all = disseminator->inForce();
    out.held.low = all.low.number, out.held.counted = all.members, out.held.level = all.level;
  }
  for (const auto& [name, m] : detector.view())
    out.members.push_back({name, m.record.address, m.record.zone, m.record.version,
                           static_cast<int>(m.record.state) + 1,
                           static_cast<int>(m.record.published.duty) + 1, m.record.incarnation, m.load.open,
                           m.load.refusedPermille});
  return out;
}

snmp::CallFigures callFigures(const grpc::Side& side) {
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
                        side.front().pressure().held,
                        {}};
  for (int code = 0; code < calls::kCodes; ++code)
    out.statuses.push_back({std::string(calls::nameOf(static_cast<calls::Code>(code))),
                            f.statuses[static_cast<std::size_t>(code)]});
  return out;
}

}  // namespace

std::optional<config::Config> readPlatform(const Options& options) {
  if (!options.platformText.empty()) return config::read(options.platformText);
  const auto file = options.config.empty() ? environment("NODE_CONFIG") : options.config;
  if (file.empty()) return std::nullopt;
  auto out = config::read(config::readFile(file));
  const auto address = [](const char* key, std::string& to) {
    const auto value = environment(key);
    if (value.empty()) return;
    if (!config::isAddress(value))
      throw config::ConfigError(std::string("key ") + key +
                                ": not an address and port such as 127.0.0.1:8080");
    to = value;
  };
  address("NODE_LISTEN", out.listen);
  address("NODE_OPS", out.ops);
  if (const auto text = environment("NODE_SOCKET_FD"); !text.empty()) {
    int descriptor = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), descriptor);
    if (error != std::errc{} || end != text.data() + text.size() || descriptor < 0)
      throw config::ConfigError("key NODE_SOCKET_FD: not the number of a descriptor: " + text);
    out.listener = descriptor;
  }
  return out;
}

config::Operator readOperatorFiles(const Options& options, const config::Config& platform) {
  config::Operator out;
  if (!options.operatorText.empty()) out = config::readOperator(options.operatorText, "demo", platform);
  if (!options.operatorFile.empty())
    out = config::readOperator(config::readFile(options.operatorFile), options.operatorFile, platform);
  const auto once = [](bool there, const char* key, const char* option) {
    if (there)
      throw config::ConfigError(std::string("key ") + key + ": given in the operator file and by " + option);
  };
  if (!options.features.empty()) {
    once(out.features.has_value(), "features", "--features");
    out.features = config::readFeatures(config::readFile(options.features), platform);
  }
  if (!options.snmp.empty()) {
    once(out.snmp.has_value(), "snmp", "--snmp");
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
      return snmp::take(*broker, rows, parts);
    });
  log_.line("started", base_.name + (platform_ ? " listen=" + base_.listen : "") +
                           (grpc_ ? " grpc=" + grpc_->front().address().toString() : "") +
                           (features_ ? " features=" + features_->server().address().toString() : ""));
  watchSignals();
}

void Program::startPlatform() {
  auto& config = *platformConfig_;
  if (config.listener)
    if (const auto fault = net::inheritedFault(*config.listener))
      throw config::ConfigError("key NODE_SOCKET_FD: descriptor " + std::to_string(*config.listener) + " " +
                                *fault);
  // Processes of one aggregator meet only where the platform hands its listening socket from one to the next.
  const auto folder = environment("TMPDIR");
  ops::Options options{config.name, config.terms.settings.coldFor, std::nullopt};
  if (config.listener && !folder.empty()) options.folder = folder;
  if (config.listener && folder.empty()) log_.line("state.off", "TMPDIR is not set: nothing is handed over");
  ops_.emplace(loop_, log_, options);
  auto inherited = config;
  if (!ops_->inheritedList().empty()) inherited.known = ops_->inheritedList();
  platform::Operated operated;
  operated.holds = &ops_->operation().holds();
  if (options.folder)
    operated.sent = [this](const auto& leaf, Nanos startedAt) { ops_->sent(leaf, startedAt); };
  operated.listener = config.listener;
  operated.accepts = false;
  const auto places = std::clamp<std::size_t>(config.sockets / 16, 4, kMostOpsPlaces);
  operated.setApart = config.ops.empty() ? 0 : places;
  platform_.emplace(
      loop_, log_, std::move(inherited), [this] { return counters(); }, std::move(operated));
  try {
    ops_->run(*this, config.ops, places);
  } catch (const Poco::Exception& error) {
    throw config::ConfigError("key ops: cannot listen on " + config.ops + ": " + error.displayText());
  }
}

void Program::startMembership() {
  const auto& settings = base_.terms.settings;
  const auto seed = std::random_device{}();  // of this process: its predecessor drew otherwise
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
    out.open += broker.open(), out.taken += c.taken, out.refused += c.refused;
  };
  if (platform_) add(platform_->broker());
  if (features_) add(features_->broker());
  if (grpc_)
    out.open += grpc_->open(), out.taken += grpc_->counters().taken, out.refused += grpc_->counters().refused;
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

void Program::sentElsewhere(const operation::ColdSends::Send& send) {
  platform_->sentElsewhere(send.instance, send.at);
}

operation::Prepared Program::prepare(bool follows) {
  // One that follows nobody makes its connections as they are needed.
  if (follows) platform_->pool().connectAll();
  return {platform_->listTold() || !ops_->inheritedList().empty(), platform_->pool().settled()};
}

void Program::clientsChanged() {
  if (fleet_ && !ending_)
    fleet_->says(ops_ && ops_->operation().drained() ? membership::Duty::draining
                                                     : membership::Duty::serving);
  if (!platform_) return;
  platform_->front().up(ops_->takesClients());
  if (ending_) return;
  auto& server = platform_->front().server();
  loop_.cancel(sendAwayTimer_);
  if (ops_->operation().drained()) {
    sendAwayTimer_ = loop_.after(kSendAwayAfter, [this] { sendAway(); });
  } else {
    server.endWithAnswers(false), server.endIdle(false);
  }
}

void Program::sendAway() {
  auto& server = platform_->front().server();
  log_.line("operation.drained", "connections=" + std::to_string(server.connections()));
  server.endWithAnswers(true), server.endIdle(true);
}

void Program::reread() {
  if (platform_) rereadPlatform();
  rereadOperator();
}

// A file is read whole before anything is changed: a fault in it leaves all as it was.
void Program::rereadPlatform() {
  try {
    auto fresh = readPlatform(options_);
    if (!fresh) return;
    for (const auto& key : platform_->reload(std::move(*fresh)))
      log_.line("config.needs_restart", "key " + key);
    base_ = platform_->config();
    log_.line("config.reread", base_.name + " discovery=" + base_.discovery);
  } catch (const config::ConfigError& error) {
    log_.line("config.reread_failed", error.what());
  }
}

void Program::rereadOperator() {
  if (options_.operatorFile.empty() && options_.features.empty()) return;
  const bool alone = options_.operatorFile.empty();
  try {
    auto fresh = readOperatorFiles(options_, base_);
    if (features_) {
      if (!fresh.features) throw config::ConfigError("key features: gone; that needs a restart");
      const auto same = [](const auto& a, const auto& b) { return a.name == b.name; };
      const auto &was = features_->config().groups, &is = fresh.features->groups;
      if (!std::equal(was.begin(), was.end(), is.begin(), is.end(), same))
        throw config::ConfigError("key features.groups: changed; that needs a restart");
    }
    if (features_.has_value() != fresh.features.has_value() || grpc_.has_value() != fresh.grpc.has_value() ||
        snmp_.has_value() != fresh.snmp.has_value())
      log_.line("operator.needs_restart",
                "key " + std::string("features, grpc or snmp: a block has come or gone"));
    if (operator_.membership != fresh.membership) log_.line("operator.needs_restart", "key membership");
    // From here on nothing fails.
    writer_.use(fresh.log);
    if (features_) features_->told(fresh.features->groups);
    if (grpc_ && fresh.grpc)
      for (const auto& key : grpc_->reload(std::move(*fresh.grpc)))
        log_.line("operator.needs_restart", "key " + key);
    log_.line(alone ? "features.reread" : "operator.reread",
              alone ? options_.features : options_.operatorFile);
  } catch (const config::ConfigError& error) {
    log_.line(alone ? "features.reread_failed" : "operator.reread_failed", error.what());
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
    line("open", broker.open()), line("held", broker.held());
    line("node_connections", platform_->pool().connections());
    line("node_connections_opened", platform_->pool().opened());
    line("shards_without_holder", platform_->unserved().size());
    out += ops_->print();
  }
  if (fleet_) out += fleet_->print();
  if (features_) out += print(features_->broker().counters(), "features_");
  if (grpc_) out += grpc_->print("grpc_");
  return out;
}

void Program::watchSignals() {
  for (const int signal : takeSignals()) {
    if (signal == SIGUSR1) {
      std::cerr << counters() << std::flush;
    } else if (signal == SIGHUP) {
      reread();
    } else if (!ending_) {
      drain();
    }
  }
  loop_.after(kSignalPoll, [this] { watchSignals(); });
}

void Program::drain() {
  if (ending_) return;
  ending_ = true;
  const auto open = (platform_ ? platform_->broker().open() : 0) + (grpc_ ? grpc_->open() : 0) +
                    (features_ ? features_->broker().open() : 0);
  log_.line("draining", "open=" + std::to_string(open));
  const bool followed = ops_ && ops_->followed();
  if (ops_) {
    ops_->ends();
    platform_->front().up(ops_->takesClients());
    auto& server = platform_->front().server();
    server.endIdle(false);
    // The other process accepts on the same socket; what is kept open here ends with its next answer.
    if (followed) server.endWithAnswers(true), server.stopListening(true);
  }
  if (platform_) {
    Nanos longest = 0;
    for (const auto& c : platform_->config().terms.settings.classes) longest = std::max(longest, c.deadline);
    answeredBy_ = loop_.now() + std::min(longest, kCounted) + kKillAfter - kBeforeKill;
    platform_->endBy(answeredBy_);
  }
  if (fleet_) followed ? fleet_->stop() : fleet_->says(membership::Duty::leaving);
  if (grpc_) grpc_->front().drain();
  loop_.after(followed ? kIdleAfterTerm : kAcceptAfterTerm, [this] { finish(); });
}

// Ends once all that was taken has its answer, written whole, and its clients have read it; where the
// platform kills what lasts, in any case before.
void Program::finish() {
  if (platform_) platform_->front().server().stopAccepting();
  const bool late = platform_ && loop_.now() >= answeredBy_;
  if (late) platform_->front().server().endUnfinished();
  if (features_) features_->server().stopAccepting();
  if (grpc_) grpc_->front().stopAccepting();
  const bool quiet = (!platform_ || platform_->quiet()) && (!grpc_ || grpc_->front().quiet()) &&
                     (!features_ || (features_->broker().open() == 0 && features_->server().quiet()));
  if (quiet || (late && loop_.now() >= answeredBy_ + kLastWords)) {
    if (!quiet)
      log_.line("ended_with_open", "clients=" + std::to_string(platform_->front().server().connections()));
    std::cerr << counters() << std::flush;
    if (fleet_) fleet_->leave();
    if (ops_) ops_->ended();
    log_.line("stopped", base_.name);
    return loop_.stop();
  }
  loop_.after(kEndPoll, [this] { finish(); });
}

int run(const Options& options) {
  net::Loop loop;
  Program program(loop, options);
  loop.run();
  return kWell;
}

}  // namespace topazweir::cli

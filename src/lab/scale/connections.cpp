#include "lab/scale/connections.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>

#include "lab/scale/hollow.hpp"
#include "lab/scale/report.hpp"
#include "lab/scale/target.hpp"
#include "lab/stand_in.hpp"
#include "net/listener.hpp"
#include "platform/node_pool.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr double kSecond = 1e9;
constexpr std::size_t kUnlimited = 1'000'000;
constexpr int kLeafAddresses = 200'000;  // behind those of hollow members

// Leafs that answer each part after a drawn time: gamma, 4, as in the module's slopes.
class StandInLeafs : net::Connection::Owner {
 public:
  StandInLeafs(net::Loop& loop, int count, double partSeconds)
      : loop_(loop), work_(4, partSeconds * kSecond / 4) {
    const int port = 17'000 + ::getpid() % 1000 * 10;
    for (int i = 0; i < count; ++i) add(addressOf(kLeafAddresses + i, port));
  }
  ~StandInLeafs() override {
    for (auto& [key, connection] : connections_) connection->close();
  }
  const platform::NodeList& list() const { return list_; }

 private:
  void add(const std::string& text) {
    const Poco::Net::SocketAddress address(text);
    list_.entries.push_back({.instance = text, .address = address});
    const auto index = listeners_.size();
    listeners_.push_back(
        std::make_unique<net::Listener>(loop_, address, kBacklog, [this, index] { accept(index); }));
    listeners_.back()->watch(true);
  }
  void accept(std::size_t index) {
    while (auto socket = listeners_[index]->accept()) {
      auto connection = net::Connection::adopt(loop_, *socket, *this);
      connections_[connection.get()] = connection;
    }
  }
  void onData(net::Connection& c) override {
    const std::weak_ptr<net::Connection> weak = connections_.at(&c);
    while (const auto reply = speaker_.reply(c.input(), Fault::none))
      loop_.after(static_cast<Nanos>(work_(random_)), [weak, text = *reply] {
        if (const auto self = weak.lock()) self->write(text);
      });
    c.resume();
  }
  void onEnd(net::Connection& c, net::ConnectionEnd) override { connections_.erase(&c); }

  static constexpr int kBacklog = 16;
  net::Loop& loop_;
  std::gamma_distribution<double> work_;
  std::mt19937_64 random_{99};
  NodeSpeaker speaker_;
  platform::NodeList list_;
  std::deque<std::unique_ptr<net::Listener>> listeners_;
  std::map<net::Connection*, std::shared_ptr<net::Connection>> connections_;
};

// What a pool has done since the counting began.
struct Counted {
  std::uint64_t parts = 0, dials = 0, notSent = 0, failed = 0;
  double held = 0, mostHeld = 0, out = 0, mostOut = 0;  // connections; parts out at once
  double micros = 0;                                    // an answered part
  std::uint64_t sent() const { return parts - notSent; }
  double dialsASent() const { return static_cast<double>(dials) / static_cast<double>(sent()); }
  double notSentShare() const { return static_cast<double>(notSent) / static_cast<double>(parts); }
};

// Queries of 94 parts, each shard's to one of its leafs by chance, through a pool of so many connections.
class QuerySource {
 public:
  QuerySource(net::Loop& loop, const platform::Directory& directory, std::size_t mostConnections,
              const ConnectionOptions& options, std::uint64_t seed)
      : loop_(loop),
        leafs_(static_cast<int>(directory.all().size())),
        gap_(kQueriesEach / options.stretch / kSecond),
        random_(seed),
        pool_(loop, log_, directory, {options.streams, 0, kConnectTime, mostConnections},
              [this](const auto& id, auto outcome, auto) { ended(id, outcome); }) {
    ask();
    look();
  }
  ~QuerySource() {
    loop_.cancel(askTimer_);
    loop_.cancel(lookTimer_);
  }
  void count() {
    counted_ = {};
    counted_.dials = pool_.opened();
    looks_ = 0, answered_ = 0, answerTime_ = 0;
  }
  Counted counted() const {
    Counted out = counted_;
    out.dials = pool_.opened() - counted_.dials;
    out.held /= looks_, out.out /= looks_;
    out.micros = answerTime_ / 1e3 / answered_;
    return out;
  }

 private:
  void ask() {
    askTimer_ = loop_.after(static_cast<Nanos>(gap_(random_)), [this] { ask(); });
    const auto query = ++queries_;
    for (int shard = 0; shard < kParts; ++shard) start(query, shard);
  }
  void start(broker::RequestNo query, int shard) {
    const int holders = (leafs_ - 1 - shard) / kParts + 1;
    const int leaf = shard + kParts * static_cast<int>(random_() % static_cast<unsigned>(holders));
    const broker::AttemptId id{query, shard, 0};
    out_[id] = loop_.now();
    ++counted_.parts;
    pool_.start(
        {id, static_cast<ServerId>(leaf + 1), fmt::format("{}.{}", query, shard), shard, query_, kPatience});
  }
  void ended(const broker::AttemptId& id, Outcome outcome) {
    const auto at = out_.find(id);
    if (outcome == Outcome::delivered) {
      ++answered_;
      answerTime_ += static_cast<double>(loop_.now() - at->second);
    }
    counted_.notSent += outcome == Outcome::notSent;
    counted_.failed += outcome != Outcome::notSent && outcome != Outcome::delivered;
    out_.erase(at);
  }
  void look() {
    lookTimer_ = loop_.after(kLook, [this] { look(); });
    ++looks_;
    const auto held = static_cast<double>(pool_.connections()), out = static_cast<double>(out_.size());
    counted_.held += held, counted_.out += out;
    counted_.mostHeld = std::max(counted_.mostHeld, held);
    counted_.mostOut = std::max(counted_.mostOut, out);
  }

  static constexpr Nanos kConnectTime = 5'000'000'000, kPatience = 60'000'000'000, kLook = 20'000'000;
  net::Loop& loop_;
  int leafs_;
  std::exponential_distribution<double> gap_;
  std::mt19937_64 random_;
  std::shared_ptr<const std::string> query_ = std::make_shared<const std::string>("q");
  broker::Log log_{[](auto, auto) {}, [] { return Nanos{0}; }};
  std::map<broker::AttemptId, Nanos> out_;  // since when
  broker::RequestNo queries_ = 0;
  Counted counted_;
  double looks_ = 0, answered_ = 0, answerTime_ = 0;
  net::Loop::TimerId askTimer_{}, lookTimer_{};
  platform::NodePool pool_;
};

// Throws where it would need more descriptors than there may be.
void checkDescriptors(int leafs, const ConnectionOptions& options) {
  double need = leafs + 64.0;
  for (const std::size_t descriptors : {std::size_t{256}, std::size_t{1024}})
    need += 2 * ConnectionModel(leafs, descriptors).slots * static_cast<double>(options.seeds.size());
  if (leafs <= options.mostUnlimited) need += 2 * 4.0 * leafs;
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (need > static_cast<double>(limit.rlim_cur))
    throw std::runtime_error(fmt::format("needs {:.0f} descriptors of {} (ulimit -n)", need, limit.rlim_cur));
}

// All pools at once before the same leafs: by descriptors (0: without a limit), one for each seed.
std::map<std::size_t, std::vector<Counted>> countAt(int leafs, const ConnectionOptions& options) {
  checkDescriptors(leafs, options);
  net::Loop loop;
  StandInLeafs standIns(loop, leafs, kPartTime * options.stretch);
  platform::Directory directory;
  directory.apply(standIns.list(), ListNews::Scope::full);
  std::map<std::size_t, std::vector<std::unique_ptr<QuerySource>>> sources;
  const auto add = [&](std::size_t descriptors, std::size_t slots, std::uint64_t seed) {
    sources[descriptors].push_back(std::make_unique<QuerySource>(loop, directory, slots, options, seed));
  };
  for (const auto seed : options.seeds)
    for (const std::size_t descriptors : {std::size_t{256}, std::size_t{1024}})
      add(descriptors, static_cast<std::size_t>(ConnectionModel(leafs, descriptors).slots), seed);
  if (leafs <= options.mostUnlimited) add(0, kUnlimited, options.seeds.front());
  loop.after(static_cast<Nanos>(options.warmSeconds * kSecond), [&] {
    for (auto& [descriptors, of] : sources)
      for (auto& source : of) source->count();
  });
  loop.after(static_cast<Nanos>((options.warmSeconds + options.seconds) * kSecond), [&] { loop.stop(); });
  loop.run();
  std::map<std::size_t, std::vector<Counted>> out;
  for (const auto& [descriptors, of] : sources)
    for (const auto& source : of) out[descriptors].push_back(source->counted());
  return out;
}

Repeated of(const std::vector<Counted>& counted, const std::function<double(const Counted&)>& what) {
  std::vector<double> values;
  for (const auto& c : counted) values.push_back(what(c));
  return repeated(values);
}
double middle(const std::vector<Counted>& counted, double Counted::*figure) {
  return of(counted, [figure](const Counted& c) { return c.*figure; }).middle;
}

void print(int leafs, std::size_t descriptors, const std::vector<Counted>& counted) {
  const auto dials = of(counted, [](const Counted& c) { return c.dialsASent(); });
  const auto notSent = of(counted, [](const Counted& c) { return c.notSentShare(); });
  std::string slots = "-", computed = "-";
  if (descriptors > 0) {
    const ConnectionModel model(leafs, descriptors);
    slots = fmt::format("{:.0f}", model.slots), computed = fmt::format("{:.3f}", model.dialsAPart());
  }
  fmt::print(
      "| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.3f} ({:.3f}-{:.3f}) | {} | {:.3f} "
      "({:.3f}-{:.3f}) | {:.0f} |\n",
      leafs, descriptors > 0 ? std::to_string(descriptors) : "no limit", slots,
      middle(counted, &Counted::out), middle(counted, &Counted::mostOut), middle(counted, &Counted::held),
      middle(counted, &Counted::mostHeld), dials.middle, dials.least, dials.most, computed, notSent.middle,
      notSent.least, notSent.most, middle(counted, &Counted::micros) / 1e3);
  std::fflush(stdout);
}

// Leafs to which a part finds an idle connection: sent parts that needed no dial, as a share, times the
// leafs. As many at any size, once the leafs are more than the connections.
double reached(int leafs, const std::vector<Counted>& counted) {
  double sent = 0, dials = 0;
  for (const auto& c : counted) sent += static_cast<double>(c.sent()), dials += static_cast<double>(c.dials);
  return leafs * (1 - dials / sent);
}

// Fitted on the smaller sizes, compared at the largest of those that a pool without a limit runs at, and of
// all.
struct ConnectionSlopes {
  static constexpr int kFittedFrom = 1000;
  std::map<std::size_t, Slope> reachedBy{};  // by descriptors
  Slope wanted{Model::power};

  void take(int leafs, std::size_t descriptors, const std::vector<Counted>& counted,
            const ConnectionOptions& options) {
    if (descriptors == 0)
      return take(wanted, leafs, options.mostUnlimited, counted.front().mostHeld, "connections wanted");
    if (leafs < kFittedFrom) return;
    auto& slope = reachedBy.try_emplace(descriptors, Slope{Model::constant}).first->second;
    take(slope, leafs, options.largest, reached(leafs, counted),
         fmt::format("leafs with an idle connection, {} descriptors", descriptors));
  }

 private:
  static void take(Slope& slope, int leafs, int last, double value, const std::string& what) {
    leafs == last && !slope.sizes.empty() ? slope.compare(what, leafs, value) : slope.add(leafs, value);
  }
};

}  // namespace

void connectionRun(const ConnectionOptions& options) {
  fmt::print(
      "connections of an aggregator by leafs; {:.3g} queries/s of {} parts of {:.0f} ms: {:.0f} parts "
      "out at once, {} a connection\n",
      kQueriesEach / options.stretch, kParts, 1e3 * kPartTime * options.stretch, kPartsEach * kPartTime,
      options.streams);
  fmt::print(
      "| leafs | descriptors | slots | out, mean | out, most | held, mean | held, most | dials a sent part "
      "| computed | not sent | ms a part |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | "
      "---: | ---: | ---: |\n");
  ConnectionSlopes slopes;
  auto sizes = options.sizes;
  if (options.largest > 0) sizes.push_back(options.largest);
  for (const int leafs : sizes)
    for (const auto& [descriptors, counted] : countAt(leafs, options)) {
      print(leafs, descriptors, counted);
      std::uint64_t failed = 0;
      for (const auto& c : counted) failed += c.failed;
      if (failed > 0) claim(false, fmt::format("no part fails: {} did", failed));
      slopes.take(leafs, descriptors, counted, options);
    }
}

}  // namespace topazweir::lab::scale

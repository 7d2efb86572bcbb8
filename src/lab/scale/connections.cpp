#include "lab/scale/connections.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>

#include "lab/fake_server.hpp"
#include "lab/scale/claims.hpp"
#include "lab/scale/hollow_members.hpp"
#include "lab/scale/target.hpp"
#include "net/listener.hpp"
#include "platform/node_pool.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr double kNanosPerSecond = 1e9;
constexpr std::size_t kUnlimited = 1'000'000;
constexpr int kFirstLeafAddress = 200'000;  // after the addresses of the hollow members

// Fake leafs that answer each part after a random service time: gamma distribution with shape 4, as in the
// measurements of the decision module.
class FakeLeafs : net::Connection::Owner {
 public:
  FakeLeafs(net::Loop& loop, int count, double partSeconds)
      : loop_(loop), serviceTime_(4, partSeconds * kNanosPerSecond / 4) {
    const int port = 17'000 + ::getpid() % 1000 * 10;
    for (int i = 0; i < count; ++i) add(memberAddress(kFirstLeafAddress + i, port));
  }
  ~FakeLeafs() override {
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
    while (const auto reply = fakeNode_.reply(c.input(), Fault::none))
      loop_.after(static_cast<Nanos>(serviceTime_(random_)), [weak, text = *reply] {
        if (const auto self = weak.lock()) self->write(text);
      });
    c.resume();
  }
  void onEnd(net::Connection& c, net::ConnectionEnd) override { connections_.erase(&c); }

  static constexpr int kBacklog = 16;
  net::Loop& loop_;
  std::gamma_distribution<double> serviceTime_;
  std::mt19937_64 random_{99};
  FakeNode fakeNode_;
  platform::NodeList list_;
  std::deque<std::unique_ptr<net::Listener>> listeners_;
  std::map<net::Connection*, std::shared_ptr<net::Connection>> connections_;
};

// Counters of one pool since counting started.
struct PoolCounts {
  std::uint64_t parts = 0, dials = 0, notSent = 0, failed = 0;
  double meanOpen = 0, maxOpen = 0;                // connections
  double meanOutstanding = 0, maxOutstanding = 0;  // parts
  double meanAnswerMicros = 0;                     // of a delivered part
  std::uint64_t sent() const { return parts - notSent; }
  double dialsPerSentPart() const { return static_cast<double>(dials) / static_cast<double>(sent()); }
  double notSentShare() const { return static_cast<double>(notSent) / static_cast<double>(parts); }
};

// Generates queries of 94 parts through a pool with a connection limit; each part goes to a random leaf of
// its shard.
class LoadGenerator {
 public:
  LoadGenerator(net::Loop& loop, const platform::Directory& directory, std::size_t maxConnections,
                const ConnectionOptions& options, std::uint64_t seed)
      : loop_(loop),
        leafCount_(static_cast<int>(directory.all().size())),
        queryInterval_(kQueriesPerAggregatorPerS / options.slowdownFactor / kNanosPerSecond),
        random_(seed),
        pool_(loop, log_, directory, {options.streamsPerConnection, 0, kConnectTimeout, maxConnections},
              [this](const auto& id, auto outcome, auto) { attemptEnded(id, outcome); }) {
    sendQuery();
    sample();
  }
  ~LoadGenerator() {
    loop_.cancel(queryTimer_);
    loop_.cancel(sampleTimer_);
  }
  void startCounting() {
    counts_ = {};
    counts_.dials = pool_.opened();
    samples_ = 0;
    answeredParts_ = 0;
    totalAnswerTime_ = 0;
  }
  PoolCounts counts() const {
    PoolCounts out = counts_;
    out.dials = pool_.opened() - counts_.dials;
    out.meanOpen /= samples_;
    out.meanOutstanding /= samples_;
    out.meanAnswerMicros = totalAnswerTime_ / 1e3 / answeredParts_;
    return out;
  }

 private:
  void sendQuery() {
    queryTimer_ = loop_.after(static_cast<Nanos>(queryInterval_(random_)), [this] { sendQuery(); });
    const auto query = ++queries_;
    for (int shard = 0; shard < kParts; ++shard) startAttempt(query, shard);
  }
  void startAttempt(broker::RequestNo query, int shard) {
    const int holders = (leafCount_ - 1 - shard) / kParts + 1;
    const int leaf = shard + kParts * static_cast<int>(random_() % static_cast<unsigned>(holders));
    const broker::AttemptId id{query, shard, 0};
    startTimes_[id] = loop_.now();
    ++counts_.parts;
    pool_.start({id, static_cast<ServerId>(leaf + 1), fmt::format("{}.{}", query, shard), shard, query_,
                 kAttemptTimeout});
  }
  void attemptEnded(const broker::AttemptId& id, Outcome outcome) {
    const auto at = startTimes_.find(id);
    if (outcome == Outcome::delivered) {
      ++answeredParts_;
      totalAnswerTime_ += static_cast<double>(loop_.now() - at->second);
    }
    counts_.notSent += outcome == Outcome::notSent;
    counts_.failed += outcome != Outcome::notSent && outcome != Outcome::delivered;
    startTimes_.erase(at);
  }
  void sample() {
    sampleTimer_ = loop_.after(kSampleInterval, [this] { sample(); });
    ++samples_;
    const auto open = static_cast<double>(pool_.connections()),
               outstanding = static_cast<double>(startTimes_.size());
    counts_.meanOpen += open;
    counts_.meanOutstanding += outstanding;
    counts_.maxOpen = std::max(counts_.maxOpen, open);
    counts_.maxOutstanding = std::max(counts_.maxOutstanding, outstanding);
  }

  static constexpr Nanos kConnectTimeout = 5'000'000'000;
  static constexpr Nanos kAttemptTimeout = 60'000'000'000;
  static constexpr Nanos kSampleInterval = 20'000'000;
  net::Loop& loop_;
  int leafCount_;
  std::exponential_distribution<double> queryInterval_;
  std::mt19937_64 random_;
  std::shared_ptr<const std::string> query_ = std::make_shared<const std::string>("q");
  broker::Log log_{[](auto, auto) {}, [] { return Nanos{0}; }};
  std::map<broker::AttemptId, Nanos> startTimes_;  // by attempt
  broker::RequestNo queries_ = 0;
  PoolCounts counts_;
  double samples_ = 0, answeredParts_ = 0, totalAnswerTime_ = 0;
  net::Loop::TimerId queryTimer_{}, sampleTimer_{};
  platform::NodePool pool_;
};

// Throws std::runtime_error if the measurement needs more descriptors than the process may open.
void checkDescriptors(int leafs, const ConnectionOptions& options) {
  double need = leafs + 64.0;
  for (const std::size_t descriptors : {std::size_t{256}, std::size_t{1024}})
    need +=
        2 * ConnectionModel(leafs, descriptors).connectionLimit * static_cast<double>(options.seeds.size());
  if (leafs <= options.maxLeafsUnlimited) need += 2 * 4.0 * leafs;
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (need > static_cast<double>(limit.rlim_cur))
    throw std::runtime_error(fmt::format("needs {:.0f} descriptors of {} (ulimit -n)", need, limit.rlim_cur));
}

// Measures all pools concurrently against the same leafs. The result is keyed by the number of descriptors
// (0: no limit) and has one entry per seed.
std::map<std::size_t, std::vector<PoolCounts>> measureAt(int leafs, const ConnectionOptions& options) {
  checkDescriptors(leafs, options);
  net::Loop loop;
  FakeLeafs fakeLeafs(loop, leafs, kPartSeconds * options.slowdownFactor);
  platform::Directory directory;
  directory.apply(fakeLeafs.list(), ServerListUpdate::Scope::full);
  std::map<std::size_t, std::vector<std::unique_ptr<LoadGenerator>>> generators;
  const auto add = [&](std::size_t descriptors, std::size_t connectionLimit, std::uint64_t seed) {
    generators[descriptors].push_back(
        std::make_unique<LoadGenerator>(loop, directory, connectionLimit, options, seed));
  };
  for (const auto seed : options.seeds)
    for (const std::size_t descriptors : {std::size_t{256}, std::size_t{1024}})
      add(descriptors, static_cast<std::size_t>(ConnectionModel(leafs, descriptors).connectionLimit), seed);
  if (leafs <= options.maxLeafsUnlimited) add(0, kUnlimited, options.seeds.front());
  loop.after(static_cast<Nanos>(options.warmUpSeconds * kNanosPerSecond), [&] {
    for (auto& [descriptors, poolGenerators] : generators)
      for (auto& generator : poolGenerators) generator->startCounting();
  });
  loop.after(static_cast<Nanos>((options.warmUpSeconds + options.countedSeconds) * kNanosPerSecond),
             [&] { loop.stop(); });
  loop.run();
  std::map<std::size_t, std::vector<PoolCounts>> out;
  for (const auto& [descriptors, poolGenerators] : generators)
    for (const auto& generator : poolGenerators) out[descriptors].push_back(generator->counts());
  return out;
}

Summary summariseBy(const std::vector<PoolCounts>& counts,
                    const std::function<double(const PoolCounts&)>& figure) {
  std::vector<double> values;
  for (const auto& c : counts) values.push_back(figure(c));
  return summarise(values);
}
double medianOf(const std::vector<PoolCounts>& counts, double PoolCounts::*figure) {
  return summariseBy(counts, [figure](const PoolCounts& c) { return c.*figure; }).median;
}

void printRow(int leafs, std::size_t descriptors, const std::vector<PoolCounts>& counts) {
  const auto dials = summariseBy(counts, [](const PoolCounts& c) { return c.dialsPerSentPart(); });
  const auto notSent = summariseBy(counts, [](const PoolCounts& c) { return c.notSentShare(); });
  std::string connectionLimit = "-", computed = "-";
  if (descriptors > 0) {
    const ConnectionModel model(leafs, descriptors);
    connectionLimit = fmt::format("{:.0f}", model.connectionLimit);
    computed = fmt::format("{:.3f}", model.dialsPerPart());
  }
  fmt::print(
      "| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.3f} ({:.3f}-{:.3f}) | {} | {:.3f} "
      "({:.3f}-{:.3f}) | {:.0f} |\n",
      leafs, descriptors > 0 ? std::to_string(descriptors) : "no limit", connectionLimit,
      medianOf(counts, &PoolCounts::meanOutstanding), medianOf(counts, &PoolCounts::maxOutstanding),
      medianOf(counts, &PoolCounts::meanOpen), medianOf(counts, &PoolCounts::maxOpen), dials.median,
      dials.min, dials.max, computed, notSent.median, notSent.min, notSent.max,
      medianOf(counts, &PoolCounts::meanAnswerMicros) / 1e3);
  std::fflush(stdout);
}

// Number of leafs to which a part finds an idle connection: the share of sent parts that needed no dial,
// times the number of leafs. It does not depend on the size once there are more leafs than connections.
double leafsWithIdleConnection(int leafs, const std::vector<PoolCounts>& counts) {
  double sent = 0, dials = 0;
  for (const auto& c : counts) {
    sent += static_cast<double>(c.sent());
    dials += static_cast<double>(c.dials);
  }
  return leafs * (1 - dials / sent);
}

// Fits on the smaller sizes. Pools without a limit are compared at the largest size that they run at, the
// others at the largest of all.
struct ConnectionFits {
  static constexpr int kMinFittedLeafs = 1000;
  std::map<std::size_t, ScalingFit> idleByDescriptors{};  // by number of descriptors
  ScalingFit connectionsWanted{FitModel::power};

  void addOrCompare(int leafs, std::size_t descriptors, const std::vector<PoolCounts>& counts,
                    const ConnectionOptions& options) {
    if (descriptors == 0)
      return addOrCompare(connectionsWanted, leafs, options.maxLeafsUnlimited, counts.front().maxOpen,
                          "connections wanted");
    if (leafs < kMinFittedLeafs) return;
    auto& fit = idleByDescriptors.try_emplace(descriptors, ScalingFit{FitModel::constant}).first->second;
    addOrCompare(fit, leafs, options.largest, leafsWithIdleConnection(leafs, counts),
                 fmt::format("leafs with an idle connection, {} descriptors", descriptors));
  }

 private:
  static void addOrCompare(ScalingFit& fit, int leafs, int last, double value, const std::string& figure) {
    leafs == last && !fit.sizes.empty() ? fit.compare(figure, leafs, value) : fit.add(leafs, value);
  }
};

}  // namespace

void measureConnections(const ConnectionOptions& options) {
  fmt::print(
      "connections of an aggregator by leafs; {:.3g} queries/s of {} parts of {:.0f} ms: {:.0f} parts "
      "out at once, {} a connection\n",
      kQueriesPerAggregatorPerS / options.slowdownFactor, kParts, 1e3 * kPartSeconds * options.slowdownFactor,
      kPartsPerAggregatorPerS * kPartSeconds, options.streamsPerConnection);
  fmt::print(
      "| leafs | descriptors | slots | out, mean | out, most | held, mean | held, most | dials a sent part "
      "| computed | not sent | ms a part |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | "
      "---: | ---: | ---: |\n");
  ConnectionFits fits;
  auto sizes = options.sizes;
  if (options.largest > 0) sizes.push_back(options.largest);
  for (const int leafs : sizes)
    for (const auto& [descriptors, counts] : measureAt(leafs, options)) {
      printRow(leafs, descriptors, counts);
      std::uint64_t failed = 0;
      for (const auto& c : counts) failed += c.failed;
      if (failed > 0) checkClaim(false, fmt::format("no part fails: {} did", failed));
      fits.addOrCompare(leafs, descriptors, counts, options);
    }
}

}  // namespace topazweir::lab::scale

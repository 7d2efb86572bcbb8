// Retry policy of the discovery client. When many aggregators lose their watch at once, their
// requests must not keep the one service that they all ask overloaded, and each must still have its list by
// the deadline.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "check.hpp"
#include "platform/discovery_retry_policy.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

// A service that answers one request at a time, in order. It refuses a request that would wait too long in
// its queue, and works off one whose client has given up all the same.
struct Service {
  Nanos serviceTime = 50 * kMs;
  Nanos maxQueueTime = 2000 * kMs;
  Nanos freeAt = 0;
  // When the answer comes, and whether it is the list.
  std::pair<Nanos, bool> request(Nanos now) {
    const Nanos at = std::max(now, freeAt) + serviceTime;
    if (at - now > maxQueueTime) return {now + maxQueueTime, false};
    freeAt = at;
    return {at, true};
  }
};

struct Result {
  int requests = 0;
  int listed = 0;  // clients that have their list
  int maxPerSecond = 0;
  Nanos lastListAfter = 0;  // time of the last list, counted from when discovery could be reached
};

// Simulates a number of `clients` that all lose their watch at 0, with discovery unreachable until `up`; runs
// until `end`.
Result simulateOutage(int clients, Nanos end, Nanos up = 0) {
  Service service;
  Result out;
  std::vector<platform::DiscoveryRetryPolicy> paces;
  std::multimap<Nanos, std::size_t> next;
  std::map<Nanos, int> requestsPerSecond;
  for (int i = 0; i < clients; ++i) {
    paces.emplace_back(clients, false, 100U + static_cast<unsigned>(i));
    paces.back().recordData(0);
    next.emplace(paces.back().nextWait(0), static_cast<std::size_t>(i));
  }
  while (!next.empty() && next.begin()->first < end) {
    const auto [now, who] = *next.begin();
    next.erase(next.begin());
    if (now < up) {
      next.emplace(now + kMs + paces[who].nextWait(now + kMs), who);
      continue;
    }
    ++out.requests;
    out.maxPerSecond = std::max(out.maxPerSecond, ++requestsPerSecond[now / (1000 * kMs)]);
    const auto [at, listed] = service.request(now);
    const Nanos endedAt = std::min(at, now + paces[who].answerTimeout(now));
    if (listed && endedAt == at) {
      ++out.listed;
      out.lastListAfter = std::max(out.lastListAfter, at - up);
      paces[who].recordSuccess();
    } else {
      next.emplace(endedAt + paces[who].nextWait(endedAt, endedAt == at), who);
    }
  }
  return out;
}

// With short fixed waits and a time-out of 1 s this service would stay overloaded for ever.
void largeFleetRecovers() {
  const auto large = simulateOutage(100, 30'000 * kMs);
  CHECK(large.listed == 100 && large.lastListAfter < 12'000 * kMs);
  CHECK(large.requests < 250);
  const auto larger = simulateOutage(400, 120'000 * kMs);
  CHECK(larger.listed == 400 && larger.requests < 1200);
  CHECK(larger.lastListAfter < 26'000 * kMs);  // 20 a second, and 6 s for the last one
}

// Discovery has been away for so long that all waits have reached their maximum. A fleet of 100, which it can
// serve in 5 s at 20 a second, has its lists in 6 s; larger fleets lose at most 6 s.
void recoveredServiceIsAskedInTime() {
  for (const int clients : {1, 3, 20, 60, 100, 120, 150, 200, 400, 1000}) {
    const auto back = simulateOutage(clients, 160'000 * kMs, 30'000 * kMs);
    CHECK(back.listed == clients);
    CHECK(back.lastListAfter <= (clients <= 100 ? 0 : clients * 50 * kMs) + 6000 * kMs);
    // No retry storm: after a failure or refusal a client waits for at least half of 4.7 s, the longest wait.
    if (clients > 100) CHECK(back.maxPerSecond <= clients * 1000 / 2350);
  }
}

void smallFleetRetriesSoon() {
  platform::DiscoveryRetryPolicy pace(3, false, 1);
  for (const Nanos most : {60, 120, 240, 480, 480}) {
    const Nanos wait = pace.nextWait(0);
    CHECK(wait > 0 && wait <= most * kMs);
  }
  pace.recordSuccess();
  CHECK(pace.answerTimeout(0) == 1000 * kMs);  // one dead connection must leave time for a second
  CHECK(pace.nextWait(0) <= 60 * kMs);
}

void waitsAreBoundedForAnyFleetSize() {
  platform::DiscoveryRetryPolicy pace(1'000'000, false, 1);
  for (int i = 0; i < 10; ++i)
    CHECK(pace.nextWait(0) <= 30'000 * kMs && pace.answerTimeout(0) <= 15'000 * kMs);
}

// Aggregators restarted together, each with its own seed, do not send their requests together.
void firstRequestsAreSpread() {
  std::map<Nanos, int> requestsPerTenth;
  for (unsigned i = 0; i < 100; ++i)
    ++requestsPerTenth[platform::DiscoveryRetryPolicy(100, false, i).nextWait(0) / (100 * kMs)];
  for (const auto& [tenth, requests] : requestsPerTenth) CHECK(requests < 25);
}

// The latest time of the list over many seeds, counted from the last data of a watch that has become
// unresponsive: the request after it is unresponsive too, the one after that is answered at once. With a
// silence of 0: counted from a move to another address.
Nanos latestList(int clients, bool pushed, Nanos silence, Nanos start) {
  Nanos longest = 0;
  for (unsigned seed = 0; seed < 500; ++seed) {
    platform::DiscoveryRetryPolicy pace(clients, pushed, seed);
    Nanos now = start;
    silence > 0 ? pace.recordData(now) : pace.recordMove(now);
    now += silence;
    if (silence > 0) now += pace.nextWait(now);
    now += platform::DiscoveryRetryPolicy::kConnectTimeoutNs;
    now += pace.answerTimeout(now);  // unresponsive
    now += pace.nextWait(now);
    now += platform::DiscoveryRetryPolicy::kConnectTimeoutNs;
    longest = std::max(longest, now - start);
  }
  return longest;
}

// Updates that an unresponsive watch misses must be known 6 s after its last data, and 4 s after a new
// configuration has moved discovery: in a fleet of any size, with the worst random waits, and with a second
// unresponsive request. Some time must be left for the answer.
void updatesMeetTheDeadline() {
  for (const int clients : {1, 3, 48, 300, 1'000'000})
    for (const bool pushed : {false, true}) {
      CHECK(latestList(clients, pushed, platform::DiscoveryRetryPolicy::kWatchIdleTimeoutNs, 100'000 * kMs) <=
            5700 * kMs);
      CHECK(latestList(clients, pushed, 0, 100'000 * kMs) <= 3700 * kMs);
    }
}

// After any sequence of failures: from the moment whose state the last request reports (its start, or its
// refusal) at most 6 s pass to the list of the next one, with the longest connects and 1 s for the answer.
void updatesMeetTheDeadlineAfterAnyFailures() {
  constexpr Nanos kConnect = platform::DiscoveryRetryPolicy::kConnectTimeoutNs, kAnswer = 1000 * kMs;
  for (const int clients : {1, 3, 48, 150, 300, 2000, 1'000'000})
    for (const bool pushed : {false, true})
      for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        platform::DiscoveryRetryPolicy pace(clients, pushed, seed);
        Nanos now = 100'000 * kMs;
        pace.recordMove(now);
        for (int request = 0; request < 20; ++request) {
          Nanos reportedAt = now;
          const auto failure = random() % 4;
          now += failure == 0 ? kConnect
                              : static_cast<Nanos>(random() % kConnect);  // connect time-out, or connected
          if (failure == 1) now += pace.answerTimeout(now);               // unresponsive
          if (failure == 2)
            now += static_cast<Nanos>(random() % (2000 * kMs));  // refused after time in its queue
          const bool refused = failure >= 2;
          if (refused) reportedAt = now;
          const Nanos wait = pace.nextWait(now, refused);
          CHECK(wait > 0);
          now += wait;
          CHECK(now + kConnect + kAnswer <= reportedAt + 6000 * kMs);
        }
      }
}

// A service that always refuses at once is asked less often: a small fleet's waits grow, a large one's stay.
void refusalsBackOff() {
  platform::DiscoveryRetryPolicy small(3, false, 1), large(400, false, 1);
  Nanos wait = 0;
  for (Nanos now = 10'000 * kMs, requests = 0; requests < 5; ++requests, now += wait)
    wait = small.nextWait(now, true);
  CHECK(wait >= 240 * kMs);
  for (Nanos now = 10'000 * kMs, requests = 0; requests < 5; ++requests, now += wait) {
    wait = large.nextWait(now, true);
    CHECK(wait >= 2350 * kMs);
  }
}

// ---- a service that queues every request and never refuses ----

// Model of a discovery service, on a virtual clock.
struct ServiceModel {
  enum class Order { fifo, lifo, shared };  // shared: all at once, each at its share of the speed
  Order order = Order::fifo;
  Nanos serviceTime = 50 * kMs;  // work for one list
  bool cancelsOnClose = false;   // a request whose client has left costs no more work
  double deadShare = 0;          // share of the first requests whose connection never carries data
  double refusedShare = 0;       // share of the answers that are a refusal once served
  double resetShare = 0;         // share of the requests that are reset at once
};

// All clients lose their watch at 0. Each sends requests as platform::Discovery does: waits,
// time-outs and the kept request are those of the retry policy.
class FleetSimulation {
 public:
  // `withoutHedging`: no request is kept, to show that the checks detect this.
  FleetSimulation(ServiceModel service, int clients, std::uint64_t seed, bool withoutHedging = false)
      : service_(service), withoutHedging_(withoutHedging), random_(seed) {
    for (int i = 0; i < clients; ++i) {
      clients_.emplace_back(platform::DiscoveryRetryPolicy(clients, false, random_()));
      clients_.back().pace.recordData(0);
      scheduleRequest(clients_.size() - 1, false);
    }
  }
  int requests = 0;
  int mostOpen = 0;  // requests of one client
  int listed = 0;    // clients that have their list
  Nanos last = 0;    // time of the last list
  Nanos idle = 0;    // when the service has no work left
  std::size_t queued() const { return queue_.size(); }

  void run(Nanos end) {
    while (!events_.empty() && events_.begin()->first < end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
  }

 private:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  struct Client {
    explicit Client(platform::DiscoveryRetryPolicy p) : pace(std::move(p)) {}
    platform::DiscoveryRetryPolicy pace;
    std::size_t current = kNone;  // request
    std::size_t kept = kNone;     // request
    bool asked = false;
    bool listed = false;
  };
  struct Request {
    std::size_t client;
    bool open = true;
    Nanos workLeft = 0;
  };

  void schedule(Nanos when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
  bool chance(double share) { return std::uniform_real_distribution<>()(random_) < share; }

  // ---- the clients ----
  void scheduleRequest(std::size_t who, bool refused) {
    schedule(now_ + clients_[who].pace.nextWait(now_, refused), [this, who] { sendRequest(who); });
  }
  void sendRequest(std::size_t who) {
    auto& client = clients_[who];
    if (client.listed) return;
    const auto request = requests_.size();
    requests_.push_back({who, true, service_.serviceTime});
    client.current = request;
    mostOpen = std::max(mostOpen, 1 + (client.kept != kNone));
    ++requests;
    if (chance(service_.resetShare))
      return schedule(now_ + kMs, [this, request] { onFailure(request, false); });
    const bool dead = !std::exchange(client.asked, true) && chance(service_.deadShare);
    schedule(now_ + client.pace.answerTimeout(now_), [this, request] { onTimeout(request); });
    if (!dead) enqueue(request);
  }
  void onTimeout(std::size_t request) {
    auto& client = clients_[requests_[request].client];
    if (client.current != request) return;
    client.current = kNone;
    const Nanos time = withoutHedging_ ? 0 : client.pace.keptRequestTimeout(client.kept != kNone);
    if (time > 0) {
      CHECK(client.kept == kNone);
      client.kept = request;
      schedule(now_ + time, [this, request] {
        if (clients_[requests_[request].client].kept == request) onFailure(request, false);
      });
    } else {
      close(request);
    }
    scheduleRequest(requests_[request].client, false);
  }
  void onFailure(std::size_t request, bool refused) {
    const auto who = requests_[request].client;
    auto& client = clients_[who];
    close(request);
    if (client.kept == request) {
      client.kept = kNone;
    } else if (client.current == request) {
      client.current = kNone;
      scheduleRequest(who, refused);
    }
  }
  void onAnswer(std::size_t request) {
    auto& client = clients_[requests_[request].client];
    if (!requests_[request].open) return;
    if (chance(service_.refusedShare)) return onFailure(request, true);
    client.listed = true;
    ++listed;
    last = now_;
    client.pace.recordData(now_);
    client.pace.recordSuccess();
    for (const auto one : {client.current, client.kept})
      if (one != kNone) close(one);
    client.current = client.kept = kNone;
  }

  // ---- the service ----
  void enqueue(std::size_t request) {
    accountWork();
    queue_.push_back(request);
    startNext();
  }
  void close(std::size_t request) {
    requests_[request].open = false;
    if (!service_.cancelsOnClose) return;
    accountWork();
    std::erase(queue_, request);
    startNext();
  }
  // Accounts for the work done since the last event.
  void accountWork() {
    Nanos done = now_ - std::exchange(accountedUntil_, now_);
    if (queue_.empty()) return;
    if (service_.order != ServiceModel::Order::shared) {
      if (serving_ != kNone) requests_[serving_].workLeft -= done;
    } else {
      for (const auto request : queue_) requests_[request].workLeft -= done / std::ssize(queue_);
    }
  }
  void startNext() {
    ++scheduleVersion_;
    if (queue_.empty()) {
      serving_ = kNone;
      idle = now_;
      return;
    }
    if (service_.order == ServiceModel::Order::shared)
      serving_ = *std::ranges::min_element(queue_, {}, [this](auto c) { return requests_[c].workLeft; });
    else if (std::ranges::find(queue_, serving_) == queue_.end())
      serving_ = service_.order == ServiceModel::Order::fifo ? queue_.front() : queue_.back();
    const Nanos timeLeft = std::max<Nanos>(1, requests_[serving_].workLeft) *
                           (service_.order == ServiceModel::Order::shared ? std::ssize(queue_) : 1);
    schedule(now_ + timeLeft, [this, version = scheduleVersion_] {
      if (version != scheduleVersion_) return;
      accountWork();
      const auto request = serving_;
      std::erase(queue_, request);
      serving_ = kNone;
      startNext();
      onAnswer(request);
    });
  }

  ServiceModel service_;
  bool withoutHedging_;
  std::mt19937_64 random_;
  Nanos now_ = 0;
  Nanos accountedUntil_ = 0;
  std::uint64_t scheduleVersion_ = 0;
  std::multimap<Nanos, std::function<void()>> events_;
  std::vector<Client> clients_;
  std::vector<Request> requests_;
  std::deque<std::size_t> queue_;
  std::size_t serving_ = kNone;
};

constexpr Nanos kUnlimited = 1000'000 * kMs;

// No request is refused, and one that was given up on is worked off all the same. Without hedging, 200
// clients never get their lists. With it they get them nearly as soon as the service can make them, with
// fewer requests.
void overloadedServiceRecovers() {
  FleetSimulation unhedged({}, 200, 7, true);
  unhedged.run(kUnlimited);
  CHECK(unhedged.listed < 100 && unhedged.requests > 20'000);
  for (const bool cancels : {false, true})
    for (const int clients : {20, 50, 100, 150, 200, 400, 1000}) {
      FleetSimulation fleet({.cancelsOnClose = cancels}, clients, 7);
      fleet.run(kUnlimited);
      CHECK(fleet.listed == clients && fleet.mostOpen <= 2);
      CHECK(fleet.last <= clients * 50 * kMs + 1000 * kMs);
      // Each sends one request, and another one every 4.7 s at most while it waits, on average half of the
      // time.
      CHECK(fleet.requests <= clients + clients * (fleet.last / (2 * 2350 * kMs)));
      if (clients == 200) CHECK(fleet.last < 60'000 * kMs && fleet.requests < 500);
      // The requests sent beside the kept ones are worked off after these.
      CHECK(fleet.idle <= 8 * fleet.last);
    }
  for (const bool cancels : {false, true}) {
    const ServiceModel shared{.order = ServiceModel::Order::shared, .cancelsOnClose = cancels};
    FleetSimulation fleet(shared, 200, 7);
    FleetSimulation sharedUnhedged(shared, 200, 7, true);
    fleet.run(kUnlimited);
    sharedUnhedged.run(kUnlimited);
    CHECK(fleet.listed == 200 && fleet.last < 60'000 * kMs && sharedUnhedged.listed < 200);
  }
}

// Random services, generated from a seed, each able to make all lists in 10 s at most.
void randomServicesRecover() {
  int failedWithoutHedging = 0;
  for (unsigned seed = 0; seed < 400; ++seed) {
    std::mt19937_64 random(seed);
    const auto uniformUpTo = [&](double most) { return std::uniform_real_distribution<>(0, most)(random); };
    const int clients = 1 + static_cast<int>(uniformUpTo(299));
    ServiceModel service;
    service.order = static_cast<ServiceModel::Order>(seed % 3);
    service.serviceTime = static_cast<Nanos>(uniformUpTo(10e9)) / clients + 1;
    service.cancelsOnClose = random() % 2 == 0;
    if (random() % 2 == 0) service.deadShare = uniformUpTo(0.5);
    if (random() % 2 == 0) service.refusedShare = uniformUpTo(0.2);
    if (random() % 2 == 0) service.resetShare = uniformUpTo(0.2);
    FleetSimulation fleet(service, clients, seed);
    fleet.run(kUnlimited);
    // A kept request on a dead connection is kept for its whole time-out, and the next one starts behind all
    // that have arrived since. Where the oldest are not served first, abandoned ones are served before them.
    const bool wasteful = service.order != ServiceModel::Order::fifo && !service.cancelsOnClose;
    const Nanos most = ((wasteful ? 300'000 : 60'000) + (service.deadShare > 0 ? 60'000 : 0)) * kMs;
    if (fleet.listed < clients || fleet.last > most || fleet.mostOpen > 2)
      std::fprintf(stderr,
                   "seed %u: %d of %d clients have their list, the last after %.1f s, %d requests open\n",
                   seed, fleet.listed, clients, static_cast<double>(fleet.last) / 1e9, fleet.mostOpen);
    CHECK(fleet.listed == clients && fleet.last <= most && fleet.mostOpen <= 2);
    if (seed % 4 != 0) continue;
    FleetSimulation unhedged(service, clients, seed, true);
    unhedged.run(300'000 * kMs);
    failedWithoutHedging += unhedged.listed < clients;
  }
  CHECK(failedWithoutHedging >= 10);
}

// The connections of all first requests are dead while the service itself is healthy: the second requests
// bring the lists by the deadline.
void deadFirstConnectionMeetsTheDeadline() {
  for (const int clients : {1, 3, 20, 48, 300})
    for (unsigned seed = 0; seed < 50; ++seed) {
      FleetSimulation fleet({.serviceTime = kMs, .deadShare = 1}, clients, seed);
      fleet.run(kUnlimited);
      CHECK(fleet.listed == clients && fleet.last <= 6000 * kMs && fleet.mostOpen <= 2);
    }
}

// A request is kept for as long as a slow service needs for the whole fleet, within bounds; only one is kept.
void keptRequestTimeoutIsBounded() {
  for (const int clients : {1, 200, 2000, 1'000'000}) {
    const platform::DiscoveryRetryPolicy pace(clients, false, 1);
    CHECK(pace.keptRequestTimeout(false) >= std::min(1'800'000, std::max(60'000, clients * 250)) * kMs);
    CHECK(pace.keptRequestTimeout(false) <= 1'800'000 * kMs && pace.keptRequestTimeout(true) == 0);
    CHECK(platform::DiscoveryRetryPolicy(clients, true, 1).keptRequestTimeout(false) ==
          0);  // an agent answers at once or not at all
  }
}

// A local agent learns nothing while discovery is down, and what it gets then counts as announced at once. So
// after an outage of any length it must be asked often enough for the time that a drain allows.
void agentIsAskedOften() {
  platform::DiscoveryRetryPolicy pace(300, true, 1);
  pace.recordData(0);
  for (Nanos now = 10'000 * kMs; now < 40'000 * kMs;) {
    const Nanos wait = pace.nextWait(now);
    const Nanos timeout = pace.answerTimeout(now);
    CHECK(wait > 0 && wait + timeout <= 450 * kMs);
    now += wait + timeout;
  }
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  largeFleetRecovers();
  smallFleetRetriesSoon();
  waitsAreBoundedForAnyFleetSize();
  firstRequestsAreSpread();
  updatesMeetTheDeadline();
  recoveredServiceIsAskedInTime();
  updatesMeetTheDeadlineAfterAnyFailures();
  refusalsBackOff();
  agentIsAskedOften();
  overloadedServiceRecovers();
  randomServicesRecover();
  deadFirstConnectionMeetsTheDeadline();
  keptRequestTimeoutIsBounded();
}

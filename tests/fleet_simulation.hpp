// Simulation of many aggregator instances on a virtual clock, which share servers with a limited number of
// cores and a limited queue.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "../src/lab/deployed_settings.hpp"
#include "check.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::test {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;

// The deployed settings with two shards per cell and one query class.
inline Settings fleetSettings(int aggregators, int cells) {
  auto settings = lab::deployedSettings(aggregators);
  settings.shards = 2 * cells;
  settings.cells = cells;
  settings.reach = 3;
  QueryClass basket;
  basket.name = "basket";
  basket.aim = 500 * kMs;
  basket.deadline = 1340 * kMs;
  basket.lateWorth = 0.3;
  settings.classes = {basket};
  return settings;
}

class FleetSimulation {
 public:
  struct Node {
    ServerEntry entry;
    double slower = 1;  // factor on the service time
    int cores = 2;
    int room = 40;  // length of the queue from which parts are rejected
    int busy = 0;   // cores in use
    std::deque<std::function<void()>> waiting;
  };

  FleetSimulation(int aggregators, int cells, unsigned seed = 1)
      : FleetSimulation(fleetSettings(aggregators, cells), seed) {}
  FleetSimulation(const Settings& settings, unsigned seed) : settings_(settings), random_(seed) {
    for (int i = 0; i < settings_.cells; ++i) add(i, i + 1);
    for (int i = 0; i < settings_.aggregators; ++i) {
      auto ownSettings = settings_;
      ownSettings.seed = 1000U * seed + static_cast<unsigned>(i);
      ownSettings.number = i;
      instances_.push_back({std::make_unique<Aggregator>(ownSettings), {}});
      handleEvents(instances_.back(), {serverList(ServerListUpdate::Scope::initial)});
    }
  }

  Node& node(ServerId id) { return nodes_.at(id); }
  void add(int cell, int id, Nanos startedAt = 0) {
    Node node;
    node.entry.server = static_cast<ServerId>(id);
    node.entry.cell = cell;
    node.entry.startedAt = startedAt;
    nodes_.emplace(node.entry.server, std::move(node));
  }
  // All instances receive the current server list.
  void tell() {
    for (auto& instance : instances_) handleEvents(instance, {serverList(ServerListUpdate::Scope::full)});
  }
  // Runs for a time in which queries arrive at random instances, at this total rate, each with `parts`
  // neighbouring shards.
  void run(Nanos time, double perSecond, int parts) {
    const Nanos end = now + time;
    std::exponential_distribution<double> gap(perSecond / static_cast<double>(kSec));
    for (Nanos at = now; (at += static_cast<Nanos>(gap(random_))) < end;)
      after(at - now, [this, parts] { startQuery(parts); });
    while (!events_.empty() && events_.begin()->first < end) {
      const auto event = std::move(events_.begin()->second);
      now = std::max(now, events_.begin()->first);
      events_.erase(events_.begin());
      event();
    }
    now = end;
  }

  Nanos now = 1000 * kSec;
  std::map<ServerId, int> firstAttempts;  // number of first attempts by server
  int asked = 0;                          // number of queries
  int answeredInTime = 0;                 // number of queries answered within the aim
  std::function<void(ServerId)> onSend = [](ServerId) {};

 private:
  struct Instance {
    std::unique_ptr<Aggregator> module;
    std::map<std::string, std::vector<std::shared_ptr<bool>>> attempts;  // by part: whether each is in flight
    std::map<std::string, Nanos> arrived{};                              // by query
  };

  ServerListUpdate serverList(ServerListUpdate::Scope scope) const {
    ServerListUpdate out{scope, {}};
    for (const auto& [id, node] : nodes_) out.entries.push_back(node.entry);
    return out;
  }
  void after(Nanos wait, std::function<void()> action) { events_.emplace(now + wait, std::move(action)); }

  void startQuery(int parts) {
    auto& instance = instances_[random_() % instances_.size()];
    const auto number = static_cast<QueryNo>(++asked);
    const std::string id = std::to_string(number);
    instance.arrived[id] = now;
    std::vector<Event> events{QueryArrived{id, number, 0, settings_.classes[0].deadline, parts, false}};
    const auto firstShard = static_cast<int>(random_() % static_cast<unsigned>(settings_.shards));
    for (int i = 0; i < parts; ++i)
      events.push_back(PartArrived{id + "." + std::to_string(i), number, (firstShard + i) % settings_.shards,
                                   1.0 / parts});
    handleEvents(instance, events);
  }

  void handleEvents(Instance& instance, const std::vector<Event>& events) {
    for (const auto& action : instance.module->handle(now, events)) {
      if (const auto* s = std::get_if<Send>(&action)) {
        send(instance, *s);
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        *instance.attempts.at(c->part).at(static_cast<std::size_t>(c->attempt)) = false;
      } else if (const auto* a = std::get_if<Answer>(&action)) {
        answeredInTime += now - instance.arrived.at(a->query) <= settings_.classes[0].aim;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        after(t->wait, [this, &instance, token = t->token] { handleEvents(instance, {TimerFired{token}}); });
      }
    }
  }

  void send(Instance& instance, const Send& s) {
    auto& attempts = instance.attempts[s.part];
    const int attempt = static_cast<int>(attempts.size());
    const auto inFlight = attempts.emplace_back(std::make_shared<bool>(true));
    firstAttempts[s.server] += attempt == 0;
    onSend(s.server);
    auto& node = nodes_.at(s.server);
    const auto finish = [this, &instance, s, attempt, inFlight, at = now](Outcome outcome) {
      if (!std::exchange(*inFlight, false)) return;
      handleEvents(instance, {AttemptEnded{s.part, attempt, s.server, outcome, now - at}});
    };
    if (node.waiting.size() >= static_cast<std::size_t>(node.room))
      return after(kMs, [finish] { finish(Outcome::rejected); });
    node.waiting.push_back([this, &node, inFlight, finish] {
      if (!*inFlight) return --node.busy, startWaiting(node);  // cancelled while it was queued
      const double serviceTime = std::gamma_distribution<double>(4, 5.0 * static_cast<double>(kMs))(random_);
      after(static_cast<Nanos>(node.slower * serviceTime), [this, &node, finish] {
        --node.busy;
        startWaiting(node);
        finish(Outcome::delivered);
      });
    });
    startWaiting(node);
  }
  // Starts queued parts while cores are free.
  void startWaiting(Node& node) {
    while (node.busy < node.cores && !node.waiting.empty()) {
      const auto work = std::move(node.waiting.front());
      node.waiting.pop_front();
      ++node.busy;
      work();
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  std::map<ServerId, Node> nodes_;
  std::deque<Instance> instances_;
  std::multimap<Nanos, std::function<void()>> events_;
};

}  // namespace topazweir::test

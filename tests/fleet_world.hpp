// Many instances of the module on a virtual clock, before servers that work on a few parts at a time.
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

constexpr Nanos kMs = 1'000'000, kSec = 1000 * kMs;

inline Settings fleetSettings(int aggregators, int cells) {
  auto s = lab::deployedSettings(aggregators);
  s.shards = 2 * cells, s.cells = cells, s.reach = 3;
  QueryClass c;
  c.name = "basket", c.aim = 500 * kMs, c.deadline = 1340 * kMs, c.lateWorth = 0.3;
  s.classes = {c};
  return s;
}

class FleetWorld {
 public:
  struct Node {
    ServerEntry entry;
    double slower = 1;
    int cores = 2, room = 40;
    int busy = 0;
    std::deque<std::function<void()>> waiting;
  };

  FleetWorld(int aggregators, int cells, unsigned seed = 1)
      : FleetWorld(fleetSettings(aggregators, cells), seed) {}
  FleetWorld(const Settings& settings, unsigned seed) : set_(settings), random_(seed) {
    for (int i = 0; i < set_.cells; ++i) add(i, i + 1);
    for (int i = 0; i < set_.aggregators; ++i) {
      auto own = set_;
      own.seed = 1000U * seed + static_cast<unsigned>(i);
      own.number = i;
      instances_.push_back({std::make_unique<Aggregator>(own), {}});
      turn(instances_.back(), {news(ListNews::Scope::initial)});
    }
  }

  Node& node(ServerId id) { return nodes_.at(id); }
  void add(int cell, int id, Nanos startedAt = 0) {
    Node node;
    node.entry.server = static_cast<ServerId>(id), node.entry.cell = cell, node.entry.startedAt = startedAt;
    nodes_.emplace(node.entry.server, std::move(node));
  }
  // The list as it is now reaches all.
  void tell() {
    for (auto& one : instances_) turn(one, {news(ListNews::Scope::full)});
  }
  // Queries of neighbouring shards arrive at all instances together at this rate.
  void run(Nanos time, double perSecond, int parts) {
    const Nanos end = now + time;
    std::exponential_distribution<double> gap(perSecond / static_cast<double>(kSec));
    for (Nanos at = now; (at += static_cast<Nanos>(gap(random_))) < end;)
      after(at - now, [this, parts] { query(parts); });
    while (!events_.empty() && events_.begin()->first < end) {
      const auto event = std::move(events_.begin()->second);
      now = std::max(now, events_.begin()->first);
      events_.erase(events_.begin());
      event();
    }
    now = end;
  }

  Nanos now = 1000 * kSec;
  std::map<ServerId, int> firstTries;
  int asked = 0, inTime = 0;
  std::function<void(ServerId)> onSend = [](ServerId) {};

 private:
  struct Instance {
    std::unique_ptr<Aggregator> module;
    std::map<std::string, std::vector<std::shared_ptr<bool>>> attempts;  // by part: whether each is out
    std::map<std::string, Nanos> arrived{};
  };

  ListNews news(ListNews::Scope scope) const {
    ListNews out{scope, {}};
    for (const auto& [id, node] : nodes_) out.entries.push_back(node.entry);
    return out;
  }
  void after(Nanos wait, std::function<void()> what) { events_.emplace(now + wait, std::move(what)); }

  void query(int parts) {
    auto& one = instances_[random_() % instances_.size()];
    const auto number = static_cast<QueryNo>(++asked);
    const std::string id = std::to_string(number);
    one.arrived[id] = now;
    std::vector<Event> events{QueryArrived{id, number, 0, set_.classes[0].deadline, parts, false}};
    const auto from = static_cast<int>(random_() % static_cast<unsigned>(set_.shards));
    for (int i = 0; i < parts; ++i)
      events.push_back(
          PartArrived{id + "." + std::to_string(i), number, (from + i) % set_.shards, 1.0 / parts});
    turn(one, events);
  }

  void turn(Instance& one, const std::vector<Event>& events) {
    for (const auto& action : one.module->handle(now, events)) {
      if (const auto* s = std::get_if<Send>(&action)) {
        send(one, *s);
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        *one.attempts.at(c->part).at(static_cast<std::size_t>(c->attempt)) = false;
      } else if (const auto* a = std::get_if<Answer>(&action)) {
        inTime += now - one.arrived.at(a->query) <= set_.classes[0].aim;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        after(t->wait, [this, &one, token = t->token] { turn(one, {TimerFired{token}}); });
      }
    }
  }

  void send(Instance& one, const Send& s) {
    auto& attempts = one.attempts[s.part];
    const int nth = static_cast<int>(attempts.size());
    const auto out = attempts.emplace_back(std::make_shared<bool>(true));
    firstTries[s.server] += nth == 0;
    onSend(s.server);
    auto& node = nodes_.at(s.server);
    const auto end = [this, &one, s, nth, out, at = now](Outcome outcome) {
      if (!std::exchange(*out, false)) return;
      turn(one, {AttemptEnded{s.part, nth, s.server, outcome, now - at}});
    };
    if (node.waiting.size() >= static_cast<std::size_t>(node.room))
      return after(kMs, [end] { end(Outcome::rejected); });
    node.waiting.push_back([this, &node, out, end] {
      if (!*out) return --node.busy, next(node);  // called off while it waited
      const double work = std::gamma_distribution<double>(4, 5.0 * static_cast<double>(kMs))(random_);
      after(static_cast<Nanos>(node.slower * work), [this, &node, end] {
        --node.busy;
        next(node);
        end(Outcome::delivered);
      });
    });
    next(node);
  }
  void next(Node& node) {
    while (node.busy < node.cores && !node.waiting.empty()) {
      const auto work = std::move(node.waiting.front());
      node.waiting.pop_front();
      ++node.busy;
      work();
    }
  }

  Settings set_;
  std::mt19937_64 random_;
  std::map<ServerId, Node> nodes_;
  std::deque<Instance> instances_;
  std::multimap<Nanos, std::function<void()>> events_;
};

}  // namespace topazweir::test

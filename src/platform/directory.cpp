#include "platform/directory.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <simdjson.h>

#include <algorithm>
#include <cmath>

#include "telemetry/json_string.hpp"

namespace topazweir::platform {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

constexpr std::int64_t kNanosPerMs = 1'000'000;
constexpr std::int64_t kMaxCell = 1'000'000;
// In the year 2255; as nanoseconds it still fits into 64 bits.
constexpr std::int64_t kMaxStartedAtMs = 9'000'000'000'000;

// Reads the value of a key; on an error returns false and sets `why`.
template <class Value>
bool readKey(const object& from, std::string_view key, Value& value, std::string& why) {
  if (from[key].get(value) == simdjson::SUCCESS) return true;
  why = "key " + std::string(key) + ": missing or of the wrong type";
  return false;
}

std::optional<NodeEntry> readEntry(const object& from, const std::vector<std::string>& zones,
                                   std::string& why) {
  std::string_view id;
  std::string_view hostPort;
  std::string_view zone;
  std::string_view state;
  std::int64_t cell = 0;
  std::int64_t startedAtMs = 0;
  NodeEntry entry;
  const bool hasZone = from["zone"].error() != simdjson::NO_SUCH_FIELD;  // some sites have no zones
  if (!readKey(from, "instanceId", id, why) || !readKey(from, "hostPort", hostPort, why) ||
      (hasZone && !readKey(from, "zone", zone, why)) || !readKey(from, "cell", cell, why) ||
      !readKey(from, "lifecycle", state, why) || !readKey(from, "weight", entry.weight, why) ||
      !readKey(from, "startedAtMs", startedAtMs, why))
    return std::nullopt;
  const auto outOfRange = [&](const char* key) {
    why = "key " + std::string(key) + ": out of range";
    return std::nullopt;
  };
  if (id.empty()) return outOfRange("instanceId");
  if (cell < 0 || cell > kMaxCell) return outOfRange("cell");
  if (!std::isfinite(entry.weight) || entry.weight < 0) return outOfRange("weight");
  if (startedAtMs < 0 || startedAtMs > kMaxStartedAtMs) return outOfRange("startedAtMs");
  if (state == "Ready") {
    entry.state = ServerState::up;
  } else if (state == "Terminating") {
    entry.state = ServerState::draining;
  } else if (state == "Gone") {
    entry.state = ServerState::gone;
  } else {
    return outOfRange("lifecycle");
  }
  // Only literal addresses: resolving a host name would block the event loop.
  if (hostPort.find_first_not_of("0123456789.:") != std::string_view::npos) return outOfRange("hostPort");
  try {
    entry.address = Poco::Net::SocketAddress(std::string(hostPort));
  } catch (const Poco::Exception&) {
    return outOfRange("hostPort");
  }
  entry.instance = id;
  const auto at = std::find(zones.begin(), zones.end(), zone);
  entry.zone = static_cast<int>(at - zones.begin());
  entry.cell = static_cast<int>(cell);
  entry.startedAt = startedAtMs * kNanosPerMs;
  return entry;
}

}  // namespace

std::optional<NodeList> readNodeList(std::string_view json, const std::vector<std::string>& zones,
                                     std::string& why) {
  simdjson::dom::parser parser;
  object root;
  if (parser.parse(simdjson::padded_string(json)).get(root) != simdjson::SUCCESS) {
    why = "not a JSON object";
    return std::nullopt;
  }
  NodeList list;
  simdjson::dom::array entries;
  if (!readKey(root, "generation", list.generation, why) || !readKey(root, "reset", list.full, why) ||
      !readKey(root, "instances", entries, why))
    return std::nullopt;
  for (const auto item : entries) {
    object fields;
    if (item.get(fields) != simdjson::SUCCESS) {
      why = "key instances: not a list of objects";
      return std::nullopt;
    }
    auto entry = readEntry(fields, zones, why);
    if (!entry) return std::nullopt;
    list.entries.push_back(std::move(*entry));
  }
  return list;
}

ServerListUpdate Directory::apply(const NodeList& list, ServerListUpdate::Scope scope) {
  const auto before = nodes_;
  if (scope != ServerListUpdate::Scope::changes) {  // nodes that a full list does not name have left
    for (auto& [id, node] : nodes_) {
      node.announcedState = ServerState::gone;
      node.entry.state = ServerState::gone;
    }
  }
  ServerListUpdate update;
  update.scope = scope;
  for (auto entry : list.entries) {
    const auto [at, inserted] = ids_.try_emplace(entry.instance, lastId_ + 1);
    if (inserted) ++lastId_;
    const auto previous = before.find(at->second);
    // A stale list must not return a process to service that is known to be draining or gone.
    if (list.stale && previous != before.end() && entry.startedAt <= previous->second.entry.startedAt)
      entry.state = std::max(entry.state, previous->second.announcedState);
    const auto announcedState = entry.state;
    update.entries.push_back(
        applyHold(nodes_[at->second] = Node{at->second, std::move(entry), announcedState}));
  }
  for (const auto& [id, node] : nodes_) {
    const auto previous = before.find(id);
    const bool notGoneBefore = previous == before.end() || previous->second.entry.state != ServerState::gone;
    if (notGoneBefore && node.entry.state == ServerState::gone) goneIds_.push_back(id);
  }
  for (; goneIds_.size() > kMaxGoneNodes; goneIds_.pop_front()) {
    const auto at = nodes_.find(goneIds_.front());
    if (at == nodes_.end() || at->second.entry.state != ServerState::gone) continue;  // it has returned
    ids_.erase(at->second.entry.instance);
    nodes_.erase(at);
  }
  return update;
}

// Computes the effective state: a leaf that operators have taken out of service stays out, even if discovery
// announces it as ready.
ServerEntry Directory::applyHold(Node& node) const {
  auto& entry = node.entry;
  const bool outOfService = holds_ && holds_->out(entry.instance);
  entry.state = outOfService ? std::max(node.announcedState, ServerState::draining) : node.announcedState;
  return {node.id, entry.zone, entry.cell, entry.state, entry.weight, startedAt(node)};
}

Nanos Directory::startedAt(const Node& node) const {
  const auto& entry = node.entry;
  return holds_ ? holds_->startedAt(entry.instance, entry.startedAt) : entry.startedAt;
}

ServerListUpdate Directory::moved(const std::vector<std::string>& instances) {
  ServerListUpdate update;
  update.scope = ServerListUpdate::Scope::changes;
  for (const auto& instance : instances)
    if (const auto at = ids_.find(instance); at != ids_.end())
      update.entries.push_back(applyHold(nodes_.at(at->second)));
  return update;
}

std::vector<int> Directory::shardsWithoutHolder(int shards, int cells, int reach) const {
  std::vector<bool> cellServes(static_cast<std::size_t>(cells), false);
  for (const auto& [id, node] : nodes_)
    if (node.entry.state == ServerState::up && node.entry.cell >= 0 && node.entry.cell < cells)
      cellServes[static_cast<std::size_t>(node.entry.cell)] = true;
  std::vector<int> unserved;
  for (int shard = 0; shard < shards; ++shard) {
    bool hasHolder = false;
    for (int j = 0; j < std::min(reach, cells); ++j)
      hasHolder = hasHolder || cellServes[static_cast<std::size_t>((shard + j) % cells)];
    if (!hasHolder) unserved.push_back(shard);
  }
  return unserved;
}

std::string Directory::text(std::int64_t generation, const std::vector<std::string>& zones) const {
  using telemetry::quoteJson;
  std::string out = fmt::format(R"({{"generation":{},"reset":true,"instances":[)", generation);
  bool first = true;
  for (const auto& [id, node] : nodes_) {
    if (node.announcedState == ServerState::gone) continue;
    const auto& entry = node.entry;
    const auto zone = static_cast<std::size_t>(entry.zone);
    out += fmt::format(
        R"({}{{"instanceId":{},"hostPort":"{}","zone":{},"cell":{},"lifecycle":"{}","weight":{},"startedAtMs":{}}})",
        std::exchange(first, false) ? "" : ",", quoteJson(entry.instance), entry.address.toString(),
        quoteJson(zone < zones.size() ? zones[zone] : std::string()), entry.cell,
        node.announcedState == ServerState::up ? "Ready" : "Terminating", entry.weight,
        entry.startedAt / kNanosPerMs);
  }
  return out + "]}";
}

std::size_t Directory::serving() const {
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
    return node.second.entry.state == ServerState::up;
  }));
}

const Directory::Node* Directory::find(ServerId id) const {
  const auto at = nodes_.find(id);
  return at == nodes_.end() ? nullptr : &at->second;
}

const Directory::Node* Directory::find(std::string_view instance) const {
  const auto at = ids_.find(instance);
  return at == ids_.end() ? nullptr : find(at->second);
}

}  // namespace topazweir::platform

#include "platform/directory.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <simdjson.h>

#include <algorithm>
#include <cmath>

#include "telemetry/json_text.hpp"

namespace topazweir::platform {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

template <class Value>
bool get(const object& from, std::string_view key, Value& value, std::string& why) {
  if (from[key].get(value) == simdjson::SUCCESS) return true;
  why = "key " + std::string(key) + ": missing or of the wrong type";
  return false;
}

std::optional<NodeEntry> readEntry(const object& from, const std::vector<std::string>& zones,
                                   std::string& why) {
  std::string_view id, hostPort, zone, state;
  std::int64_t cell = 0, started = 0;
  NodeEntry out;
  const bool zoned = from["zone"].error() != simdjson::NO_SUCH_FIELD;  // a site may have none
  if (!get(from, "instanceId", id, why) || !get(from, "hostPort", hostPort, why) ||
      (zoned && !get(from, "zone", zone, why)) || !get(from, "cell", cell, why) ||
      !get(from, "lifecycle", state, why) || !get(from, "weight", out.weight, why) ||
      !get(from, "startedAtMs", started, why))
    return std::nullopt;
  const auto wrong = [&](const char* key) {
    why = "key " + std::string(key) + ": out of range";
    return std::nullopt;
  };
  if (id.empty()) return wrong("instanceId");
  if (cell < 0 || cell > 1'000'000) return wrong("cell");
  if (!std::isfinite(out.weight) || out.weight < 0) return wrong("weight");
  if (started < 0 || started > 9'000'000'000'000) return wrong("startedAtMs");
  if (state == "Ready") {
    out.state = ServerState::up;
  } else if (state == "Terminating") {
    out.state = ServerState::draining;
  } else if (state == "Gone") {
    out.state = ServerState::gone;
  } else {
    return wrong("lifecycle");
  }
  // Only literal addresses: a name would have to be looked up, which would hold up the loop.
  if (hostPort.find_first_not_of("0123456789.:") != std::string_view::npos) return wrong("hostPort");
  try {
    out.address = Poco::Net::SocketAddress(std::string(hostPort));
  } catch (const Poco::Exception&) {
    return wrong("hostPort");
  }
  out.instance = id;
  const auto at = std::find(zones.begin(), zones.end(), zone);
  out.zone = static_cast<int>(at - zones.begin());
  out.cell = static_cast<int>(cell);
  out.startedAt = started * 1'000'000;
  return out;
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
  if (!get(root, "generation", list.generation, why) || !get(root, "reset", list.full, why) ||
      !get(root, "instances", entries, why))
    return std::nullopt;
  for (const auto item : entries) {
    object fields;
    if (item.get(fields) != simdjson::SUCCESS) {
      why = "key instances: holds no objects";
      return std::nullopt;
    }
    auto entry = readEntry(fields, zones, why);
    if (!entry) return std::nullopt;
    list.entries.push_back(std::move(*entry));
  }
  return list;
}

ListNews Directory::apply(const NodeList& list, ListNews::Scope scope) {
  const auto before = nodes_;
  if (scope != ListNews::Scope::changes)  // what a full list does not name has left
    for (auto& [id, node] : nodes_) node.entry.state = node.told = ServerState::gone;
  ListNews news;
  news.scope = scope;
  for (auto entry : list.entries) {
    const auto [at, fresh] = ids_.try_emplace(entry.instance, last_ + 1);
    if (fresh) ++last_;
    const auto was = before.find(at->second);
    // Guards the rule on drains: an old list does not bring back a process known to drain or to be gone.
    if (list.stale && was != before.end() && entry.startedAt <= was->second.entry.startedAt)
      entry.state = std::max(entry.state, was->second.told);
    const auto told = entry.state;
    news.entries.push_back(hold(nodes_[at->second] = Node{at->second, std::move(entry), told}));
  }
  for (const auto& [id, node] : nodes_) {
    const auto was = before.find(id);
    const bool went = was == before.end() || was->second.entry.state != ServerState::gone;
    if (went && node.entry.state == ServerState::gone) gone_.push_back(id);
  }
  for (; gone_.size() > kGoneKept; gone_.pop_front()) {
    const auto at = nodes_.find(gone_.front());
    if (at == nodes_.end() || at->second.entry.state != ServerState::gone) continue;  // it came back
    ids_.erase(at->second.entry.instance);
    nodes_.erase(at);
  }
  return news;
}

// Guards the operators' word against lists: a leaf that they have taken out stays out, whoever calls it
// ready.
ServerEntry Directory::hold(Node& node) const {
  auto& entry = node.entry;
  const bool out = holds_ && holds_->out(entry.instance);
  entry.state = out ? std::max(node.told, ServerState::draining) : node.told;
  return {node.id, entry.zone, entry.cell, entry.state, entry.weight, startedAt(node)};
}

Nanos Directory::startedAt(const Node& node) const {
  const auto& entry = node.entry;
  return holds_ ? holds_->startedAt(entry.instance, entry.startedAt) : entry.startedAt;
}

ListNews Directory::moved(const std::vector<std::string>& instances) {
  ListNews news;
  news.scope = ListNews::Scope::changes;
  for (const auto& instance : instances)
    if (const auto at = ids_.find(instance); at != ids_.end())
      news.entries.push_back(hold(nodes_.at(at->second)));
  return news;
}

std::vector<int> Directory::shardsWithoutHolder(int shards, int cells, int reach) const {
  std::vector<bool> held(static_cast<std::size_t>(cells), false);
  for (const auto& [id, node] : nodes_)
    if (node.entry.state == ServerState::up && node.entry.cell >= 0 && node.entry.cell < cells)
      held[static_cast<std::size_t>(node.entry.cell)] = true;
  std::vector<int> out;
  for (int s = 0; s < shards; ++s) {
    bool any = false;
    for (int j = 0; j < std::min(reach, cells); ++j)
      any = any || held[static_cast<std::size_t>((s + j) % cells)];
    if (!any) out.push_back(s);
  }
  return out;
}

std::string Directory::text(std::int64_t generation, const std::vector<std::string>& zones) const {
  using telemetry::jsonText;
  std::string out = fmt::format(R"({{"generation":{},"reset":true,"instances":[)", generation);
  bool first = true;
  for (const auto& [id, node] : nodes_) {
    if (node.told == ServerState::gone) continue;
    const auto& e = node.entry;
    const auto zone = static_cast<std::size_t>(e.zone);
    out += fmt::format(
        R"({}{{"instanceId":{},"hostPort":"{}","zone":{},"cell":{},"lifecycle":"{}","weight":{},"startedAtMs":{}}})",
        std::exchange(first, false) ? "" : ",", jsonText(e.instance), e.address.toString(),
        jsonText(zone < zones.size() ? zones[zone] : std::string()), e.cell,
        node.told == ServerState::up ? "Ready" : "Terminating", e.weight, e.startedAt / 1'000'000);
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

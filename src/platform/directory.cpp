#include "platform/directory.hpp"

#include <Poco/Exception.h>
#include <simdjson.h>

#include <algorithm>
#include <cmath>

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
  if (!get(from, "instanceId", id, why) || !get(from, "hostPort", hostPort, why) ||
      !get(from, "zone", zone, why) || !get(from, "cell", cell, why) || !get(from, "lifecycle", state, why) ||
      !get(from, "weight", out.weight, why) || !get(from, "startedAtMs", started, why))
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
    for (auto& [id, node] : nodes_) node.entry.state = ServerState::gone;
  ListNews news;
  news.scope = scope;
  for (auto entry : list.entries) {
    const auto [at, fresh] = ids_.try_emplace(entry.instance, last_ + 1);
    if (fresh) ++last_;
    const auto was = before.find(at->second);
    // Guards the rule on drains: an old list does not bring back a process known to drain or to be gone.
    if (list.stale && was != before.end() && entry.startedAt <= was->second.entry.startedAt)
      entry.state = std::max(entry.state, was->second.entry.state);
    news.entries.push_back({at->second, entry.zone, entry.cell, entry.state, entry.weight, entry.startedAt});
    nodes_[at->second] = Node{at->second, std::move(entry)};
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

std::size_t Directory::serving() const {
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
    return node.second.entry.state == ServerState::up;
  }));
}

const Directory::Node* Directory::find(ServerId id) const {
  const auto at = nodes_.find(id);
  return at == nodes_.end() ? nullptr : &at->second;
}

}  // namespace topazweir::platform

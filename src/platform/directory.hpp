// The list of nodes as discovery announces it, decoded and turned into entries and addresses for the decision
// module.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operation/holds.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

// One node of a list.
struct NodeEntry {
  std::string instance;
  Poco::Net::SocketAddress address;
  int zone = 0;  // index into the configured zones; their number if the zone is not among them
  int cell = 0;
  double weight = 1;
  ServerState state = ServerState::up;
  Nanos startedAt = 0;  // Unix time
};

// One list of discovery: the whole list or changes to it.
struct NodeList {
  std::int64_t generation = 0;
  bool full = false;
  bool stale = false;  // older generation than one received before, e.g. after a move to an agent that lags
  std::vector<NodeEntry> entries;
};

// Decodes one JSON object in discovery's format. On an error returns nothing and sets `why` to a message that
// names the faulty key.
std::optional<NodeList> readNodeList(std::string_view json, const std::vector<std::string>& zones,
                                     std::string& why);

// Assigns the ids that stand for nodes inside the program, and keeps the latest entry of each node. Of nodes
// that are gone it keeps only the last kMaxGoneNodes: with nodes replaced day after day, memory must not grow
// without bound.
class Directory {
 public:
  struct Node {
    ServerId id = 0;
    NodeEntry entry;  // with the effective state: a node that operators took out of service is draining
    ServerState announcedState = ServerState::up;  // by discovery
  };
  // `holds`: the nodes that operators have taken out of service, which override every list; may be null. Must
  // outlive this.
  explicit Directory(const operation::Holds* holds = nullptr) : holds_(holds) {}
  // Applies a list; returns it as an update for the decision module.
  ServerListUpdate apply(const NodeList& list, ServerListUpdate::Scope scope);
  // Recomputes these nodes after operators have taken them out of service or put them back; returns an update
  // for the decision module. Instances that no list has named are skipped.
  ServerListUpdate moved(const std::vector<std::string>& instances);
  // Null if unknown.
  const Node* find(ServerId id) const;
  const Node* find(std::string_view instance) const;
  const std::map<ServerId, Node>& all() const { return nodes_; }
  // The start time that the decision module is given: after a hold it may be later than the announced one.
  Nanos startedAt(const Node& node) const;
  std::size_t serving() const;  // number of nodes that are up
  // The shards that no node serves: shard s is held by the cells (s + j) % cells for j in [0, reach).
  std::vector<int> shardsWithoutHolder(int shards, int cells, int reach) const;
  // The current announced state as one full list in discovery's format, without nodes that are gone.
  std::string text(std::int64_t generation, const std::vector<std::string>& zones) const;

 private:
  ServerEntry applyHold(Node& node) const;

  const operation::Holds* holds_;
  std::map<std::string, ServerId, std::less<>> ids_;
  std::map<ServerId, Node> nodes_;
  std::deque<ServerId> goneIds_;  // in the order in which they left
  ServerId lastId_ = 0;

  static constexpr std::size_t kMaxGoneNodes = 64;
};

}  // namespace topazweir::platform

// The list of nodes as discovery tells it: decoded once, turned into the module's entries and addresses.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

struct NodeEntry {
  std::string instance;
  Poco::Net::SocketAddress address;
  int zone = 0, cell = 0;
  double weight = 1;
  ServerState state = ServerState::up;
  Nanos startedAt = 0;
};

struct NodeList {
  std::int64_t generation = 0;
  bool full = false;
  bool stale = false;  // of an earlier generation than one told before, as after a move to a slower agent
  std::vector<NodeEntry> entries;
};

// Decodes one object in discovery's form. On a fault nothing is returned and `why` says which key is at
// fault.
std::optional<NodeList> readNodeList(std::string_view json, const std::vector<std::string>& zones,
                                     std::string& why);

// Keeps the numbers that stand for nodes inside the program, and their latest entries. Of nodes that have
// gone only the latest few are kept: replaced day after day, they must not fill the memory.
class Directory {
 public:
  struct Node {
    ServerId id = 0;
    NodeEntry entry;
  };
  // Applies a list; returns the same as news for the module.
  ListNews apply(const NodeList& list, ListNews::Scope scope);
  const Node* find(ServerId id) const;
  const std::map<ServerId, Node>& all() const { return nodes_; }
  std::size_t serving() const;  // how many are up

 private:
  std::map<std::string, ServerId> ids_;
  std::map<ServerId, Node> nodes_;
  std::deque<ServerId> gone_;  // in the order in which they went
  ServerId last_ = 0;

  static constexpr std::size_t kGoneKept = 64;
};

}  // namespace topazweir::platform

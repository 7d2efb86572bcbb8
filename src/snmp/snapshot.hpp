// The objects of TOPAZWEIR-MIB as they are at one moment, in the order of their identifiers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "broker/broker.hpp"

namespace topazweir::snmp {

using Oid = std::vector<unsigned long>;

struct Counter {
  std::uint64_t value;
};
struct Gauge {
  std::uint32_t value;
};
using Value = std::variant<Counter, Gauge, std::int32_t, std::string>;
using Snapshot = std::map<Oid, Value>;

struct NodeRow {
  long index = 0;
  std::string name;
  ServerState state = ServerState::up;
  int cell = 0;
  Nanos startedAt = 0;
};

inline const Oid kRoot = {1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 4711};

Snapshot take(const broker::Broker& broker, const std::vector<NodeRow>& nodes);

}  // namespace topazweir::snmp

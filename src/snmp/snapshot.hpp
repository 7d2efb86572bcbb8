// The objects of TOPAZWEIR-MIB as they are at one moment, in the order of their identifiers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

// Of the gRPC front.
struct CallFigures {
  struct Status {
    std::string name;
    std::uint64_t count = 0;
  };
  std::uint64_t calls = 0, malformed = 0, unrouted = 0, shed = 0, cancelled = 0, floods = 0, healthChecks = 0,
                cutAtDrain = 0;
  std::uint64_t answered = 0, refused = 0, failed = 0, furtherAttempts = 0;
  std::size_t open = 0, clientConnections = 0, clientStreams = 0, bufferedBytes = 0;
  std::vector<Status> statuses;  // by code, from 0
};

// Of day-to-day operation.
struct OperationFigures {
  std::uint64_t calls = 0, refused = 0, dropped = 0;  // of operators
  std::size_t serversOut = 0;                         // of service, by call
  bool drained = false;
};

// Of membership.
struct MembershipFigures {
  struct Member {
    std::string name, address, zone, version;
    int state = 0, duty = 0;  // as the MIB numbers them, from 1
    std::uint64_t incarnation = 0;
    std::uint32_t open = 0, refusedPermille = 0;
  };
  std::size_t alive = 0, doubts = 0;
  int standing = 0;  // from 1
  std::uint64_t sent = 0, received = 0, unread = 0, votersDiffer = 0, decided = 0;
  bool leads = false;
  std::vector<Member> members;
  struct Register {                        // how far what the voters agree on has come
    std::optional<std::uint64_t> ageMs{};  // none: no voter has ever vouched for it here
    std::uint64_t position = 0, low = 0;   // number of commands: here, and at all counted
    std::uint64_t counted = 0, level = 0;  // members below this one, itself included; with its position
  };
  Register held{};
};

// None where that part is off; its objects are absent then.
struct Parts {
  std::optional<CallFigures> calls{};
  std::optional<OperationFigures> operation{};
  std::optional<MembershipFigures> membership{};
};

inline const Oid kRoot = {1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 4711};

Snapshot take(const broker::Broker& broker, const std::vector<NodeRow>& nodes, const Parts& parts = {});

}  // namespace topazweir::snmp

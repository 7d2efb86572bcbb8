// The values of all objects of TOPAZWEIR-MIB at one time, ordered by object identifier.
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

// A Counter64 of the MIB.
struct Counter {
  std::uint64_t value;
};
// A Gauge32 of the MIB.
struct Gauge {
  std::uint32_t value;
};
using Value = std::variant<Counter, Gauge, std::int32_t, std::string>;
using Snapshot = std::map<Oid, Value>;

// A row of the table of nodes.
struct NodeRow {
  long index = 0;
  std::string name;
  ServerState state = ServerState::up;
  int cell = 0;
  Nanos startedAt = 0;  // since the epoch; 0: long ago
};

// Counters and gauges of the gRPC front.
struct CallFigures {
  struct Status {
    std::string name;
    std::uint64_t count = 0;
  };
  std::uint64_t calls = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unrouted = 0;
  std::uint64_t shed = 0;       // rejected because the buffers were full
  std::uint64_t cancelled = 0;  // by their clients
  std::uint64_t floods = 0;     // client connections closed with ENHANCE_YOUR_CALM
  std::uint64_t healthChecks = 0;
  std::uint64_t cutAtDrain = 0;  // still open when the drain time ran out
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t furtherAttempts = 0;  // beyond the first of each call
  std::size_t open = 0;
  std::size_t clientConnections = 0;
  std::size_t clientStreams = 0;
  std::size_t bufferedBytes = 0;
  std::vector<Status> statuses;  // by status code, from 0
};

// Figures of the operators' calls and their effects.
struct OperationFigures {
  std::uint64_t calls = 0;     // operators' calls
  std::uint64_t refused = 0;   // calls answered with NAK
  std::uint64_t dropped = 0;   // callers that sent no complete call in time, or too much
  std::size_t serversOut = 0;  // servers taken out of service by operators
  bool drained = false;        // this aggregator is drained
};

// Figures of the membership and the register.
struct MembershipFigures {
  struct Member {
    std::string name;
    std::string address;
    std::string zone;
    std::string version;
    int state = 0;  // numbered as in the MIB, from 1
    int duty = 0;   // the same
    std::uint64_t incarnation = 0;
    std::uint32_t open = 0;             // open requests
    std::uint32_t refusedPermille = 0;  // of its requests
  };
  std::size_t alive = 0;           // members
  std::size_t doubts = 0;          // local health score: 0 is healthy, 8 the worst
  int standing = 0;                // membership state, numbered as in the MIB, from 1
  std::uint64_t sent = 0;          // datagrams
  std::uint64_t received = 0;      // datagrams
  std::uint64_t unread = 0;        // datagrams that could not be decoded or are of another fleet or version
  std::uint64_t votersDiffer = 0;  // messages between voters whose configurations differ
  std::uint64_t decided = 0;       // committed commands
  bool leads = false;              // this member is the Raft leader
  std::vector<Member> members;
  // How far the replicated register has been disseminated.
  struct Register {
    // Time since a voter that knew a leader last confirmed the register as fresh; none: never.
    std::optional<std::uint64_t> ageMs{};
    std::uint64_t position = 0;  // number of commands applied here
    std::uint64_t low = 0;       // low watermark: commands applied at all counted members
    std::uint64_t counted = 0;   // members of the dissemination tree from here down, this one included
    std::uint64_t level = 0;     // counted members that have this position
  };
  Register held{};
};

// Figures of an HTTP front's connections, and of the buffers of all connections.
struct ConnectionFigures {
  std::size_t connections = 0;       // clients' connections of the front
  std::uint64_t rejected = 0;        // requests rejected before they had arrived in full
  std::uint64_t unfinishedShed = 0;  // of these, to make room for connections or buffers
  std::uint64_t refusedAhead = 0;    // requests refused because their client sent too far ahead
  std::uint64_t idleClosed = 0;
  std::uint64_t stalledClosed = 0;  // connections of clients that did not read their answers
  std::uint64_t clientsLeft = 0;    // with an open request
  std::size_t bufferedBytes = 0;
  std::size_t bufferedPeakBytes = 0;
  std::size_t bufferLimitBytes = 0;
};

// Figures of the optional parts. The objects of an absent part are absent from the snapshot.
struct Parts {
  std::optional<CallFigures> calls{};
  std::optional<OperationFigures> operation{};
  std::optional<MembershipFigures> membership{};
  std::optional<ConnectionFigures> connections{};
};

// The identifier that all objects start with.
inline const Oid kRoot = {1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 4711};

// Builds the snapshot. `broker` is the one whose requests, tenants and outcomes are shown.
Snapshot takeSnapshot(const broker::Broker& broker, const std::vector<NodeRow>& nodes,
                      const Parts& parts = {});

}  // namespace topazweir::snmp

// The state kept about each member of the fleet, and the messages that carry it. Plain values, independent of
// the wire format (src/fleet/codec.hpp encodes them).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::membership {

// State of a member as seen by its peers. Within one incarnation a later enumerator overrides an earlier one.
enum class State { alive, suspect, failed, left };
inline constexpr const char* kStateNames[] = {"alive", "suspect", "failed", "left"};

// Role that a member announces for itself.
enum class Duty { joining, serving, draining, leaving };
inline constexpr const char* kDutyNames[] = {"joining", "serving", "draining", "leaving"};

// The part of a record that only the member itself writes. Within one incarnation the higher revision is the
// newer one.
struct Published {
  std::uint64_t revision = 0;
  Duty duty = Duty::joining;
};

inline constexpr std::size_t kMostText = 64;  // maximum bytes of each text field of a record

struct Record {
  std::string name;     // stable across restarts
  std::string address;  // host:port on which the member listens
  std::string zone, version;
  std::uint64_t incarnation = 0;  // incremented by the member itself only
  State state = State::alive;
  // While suspect: the member whose probe failed. Only suspicions of different members confirm each other.
  std::string by{};
  Published published{};
};

// Whether the state in `news` supersedes the state in `known` for the same member: it has a later
// incarnation, or the same incarnation and a higher State.
inline bool outranks(const Record& news, const Record& known) {
  return news.incarnation != known.incarnation ? news.incarnation > known.incarnation
                                               : news.state > known.state;
}

// Upper bound of the bytes that a record takes on the wire (src/fleet/codec.hpp): text fields with their
// length prefixes, integers and framing. Datagrams are filled by this bound.
inline std::size_t weight(const Record& record) {
  constexpr std::size_t kTextCount = 5;
  constexpr std::size_t kIntegerCount = 2;
  constexpr std::size_t kTextPrefixBytes = 2;
  constexpr std::size_t kIntegerBytes = 9;
  constexpr std::size_t kFramingBytes = 4;
  return kTextCount * kTextPrefixBytes + kIntegerCount * kIntegerBytes + kFramingBytes + record.name.size() +
         record.address.size() + record.zone.size() + record.version.size() + record.by.size();
}

// Load of a member. Carried only by the member's own messages and not relayed, so its cost is independent of
// the fleet's size.
struct Load {
  std::uint32_t open = 0;             // requests in progress
  std::uint32_t refusedPermille = 0;  // share of recent requests that were refused
  bool operator==(const Load&) const = default;
};

enum class Kind {
  ping,         // direct probe
  pingRequest,  // asks the receiver to probe `about` on the sender's behalf
  ack,          // positive answer to probe `sequence`
  nack,         // indirect probe `sequence` was sent and has not been answered yet
  sync,         // the sender's full member list; the receiver answers with its own
  syncReply,    // the full member list in answer to sync
  agreement,    // payload of the Raft group (src/agreement), voters only
  follow,       // asks a voter for its register if that holds more commands than `sequence`
  followReply,
  dissemination  // payload of src/dissemination; older versions count it as malformed
};
inline constexpr int kKinds = 10;

// Whether messages of this kind are sent over a stream: they may not fit into a datagram, and their answer is
// many times the size of the request.
inline bool usesStream(Kind kind) {
  return kind == Kind::sync || kind == Kind::syncReply || kind == Kind::follow || kind == Kind::followReply;
}

struct Message {
  Kind kind = Kind::ping;
  std::string sender{};        // name of the sending member
  std::string from{};          // address of the sending member
  std::string about{};         // ping: name of the probed member; pingRequest: name of the member to probe
  std::uint64_t sequence = 0;  // of the request
  Load load{};                 // of the sender
  std::vector<Record> news{};  // bounded by Settings, except in sync and syncReply
  std::string payload{};       // agreement and dissemination: opaque bytes; followReply: the register
  std::size_t size = 0;        // encoded bytes of a received message; 0: not known
};

}  // namespace topazweir::membership

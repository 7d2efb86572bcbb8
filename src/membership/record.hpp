// What is known of a member, and the messages that carry it. Values; no wire is named here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::membership {

// What the others hold of a member, in the order in which one outranks the other at the same incarnation.
enum class State { alive, suspect, failed, left };
inline constexpr const char* kStateNames[] = {"alive", "suspect", "failed", "left"};

// What a member says of itself.
enum class Duty { joining, serving, draining, leaving };
inline constexpr const char* kDutyNames[] = {"joining", "serving", "draining", "leaving"};

// Told by the member alone; of one incarnation the higher revision is the later one.
struct Published {
  std::uint64_t revision = 0;
  Duty duty = Duty::joining;
};

inline constexpr std::size_t kMostText = 64;  // bytes of each of a record's texts

struct Record {
  std::string name;     // the same after a restart
  std::string address;  // where it hears
  std::string zone, version;
  std::uint64_t incarnation = 0;  // only the member itself raises it
  State state = State::alive;
  std::string by{};  // suspect: the member that has probed it in vain; only different ones confirm each other
  Published published{};
};

// Does `news` say more than `known` of the same member's state? A later incarnation does, and at the same one
// the graver state.
inline bool outranks(const Record& news, const Record& known) {
  return news.incarnation != known.incarnation ? news.incarnation > known.incarnation
                                               : news.state > known.state;
}

// The most bytes that a record takes on the wire, src/fleet/codec.hpp: its texts with their lengths, its
// numbers, its frame. What is put into one datagram is chosen by it.
inline std::size_t weight(const Record& record) {
  constexpr std::size_t kTexts = 5, kNumbers = 2, kOfText = 2, kOfNumber = 9, kRest = 4;
  return kTexts * kOfText + kNumbers * kOfNumber + kRest + record.name.size() + record.address.size() +
         record.zone.size() + record.version.size() + record.by.size();
}

// How busy a member is. Goes with its own messages only, so that what it costs does not grow with the fleet.
struct Load {
  std::uint32_t open = 0;             // requests
  std::uint32_t refusedPermille = 0;  // of the requests of late
  bool operator==(const Load&) const = default;
};

enum class Kind {
  ping,       // are you there?
  pingFor,    // ask `about` for me
  ack,        // yes, to `sequence`
  nack,       // I have asked for you and have heard nothing yet
  sync,       // all that I know; please answer with the same
  syncReply,  // all that I know
  agreement,  // between voters: what src/agreement says
  follow,     // of a voter: its register, if it holds more commands than `sequence`
  followReply,
  dissemination  // between members: what src/dissemination says; members from before it count it as broken
};
inline constexpr int kKinds = 10;
// These go by a stream: they don't fit in a datagram, and their answer is many times their question.
inline bool byStream(Kind kind) {
  return kind == Kind::sync || kind == Kind::syncReply || kind == Kind::follow || kind == Kind::followReply;
}

struct Message {
  Kind kind = Kind::ping;
  std::string sender{};        // its name
  std::string from{};          // and its address
  std::string about{};         // ping: the name that is meant; pingFor: whom to ask
  std::uint64_t sequence = 0;  // of the question
  Load load{};                 // the sender's
  std::vector<Record> news{};  // bounded by Settings but for the two kinds of sync
  std::string payload{};       // agreement, dissemination; followReply: the register
  std::size_t size = 0;        // bytes on the wire, where it was received; 0: not known
};

}  // namespace topazweir::membership

// Distributes the voters' replicated register to every member of the fleet: numbered changes are pushed down
// a dissemination tree of voters, relays and members; a member that is behind the tail of the log fetches a
// snapshot in pieces; the low watermark comes back up the tree as aggregated counts. Does no I/O and reads no
// clock: messages, the membership view and `now` go in, messages come out. Design:
// docs/design/dissemination.md.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "agreement/register.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::dissemination {

// Position of a register in the voters' log. The generation identifies the voters' state: a new one, begun
// after all of their state folders were emptied, supersedes every number of an earlier one. Ordered by the
// generation, then the number.
struct Position {
  std::uint64_t generation = 0;  // Unix ms at which the first leader began this state; 0: not known yet
  std::uint64_t number = 0;      // commands applied, agreement::Register::commands()
  auto operator<=>(const Position&) const = default;
};
Position positionOf(const agreement::Register& held);

struct Settings {
  std::string self;                 // name of this member
  std::string zone;                 // of this member
  bool votes = false;               // this member is a voter and has the register from the Raft group
  std::vector<std::string> voters;  // names; empty: nothing is disseminated
  // Names of dedicated relays: while any of them is alive, no other member relays. Empty: members relay.
  std::vector<std::string> relays;
  // Planned children of a voter or relay; at most twice as many are admitted. The heartbeats to them, and all
  // changes that they missed in an hour of partition, have to fit into the byte budget.
  std::size_t fanOut = 5;
  Nanos beatEvery = 250'000'000;         // between two heartbeats of a parent
  Nanos heartbeatTimeout = 800'000'000;  // heartbeat timeout, after which a child changes to the next parent
  Nanos staleAfter = 2'000'000'000;  // age of the state from which a parent with fresher state is looked for
  std::size_t tailChanges = 4096;    // log entries kept for members that are behind
  std::size_t tailBytes = 1024 * 1024;  // bytes of log entries kept for members that are behind
  // Changes between two snapshots; taken at the same numbers by all members, so that a fetch can continue
  // from any parent.
  std::uint64_t snapshotEvery = 512;
  std::size_t pieceBytes = 1000;  // of a snapshot, per message
  std::size_t maxSnapshotBytes = 64 * 1024 * 1024;
  double bytesPerSecond = 2048;         // mean send rate over all messages of this module
  std::size_t burstBytes = 240 * 1024;  // with the mean rate: 6 KB/s in any minute
  std::size_t frameBytes = 48;          // overhead of the wire format per message
  std::uint64_t seed = 1;
};

// A member in the membership view.
struct Peer {
  std::string name, zone;
  bool alive = false;  // suspect members count as alive
  bool operator==(const Peer&) const = default;
};

struct Out {
  std::string to;     // name of a member
  std::string bytes;  // at most kMaxMessageBytes
};
// Messages that do not fit into a datagram are sent over a stream.
inline constexpr std::size_t kMaxMessageBytes = 16 * 1024;

struct Slowest {
  std::string name;
  Position at;
};

// Progress of this member's subtree, from the counts reported up the tree. At the leader: of the whole fleet.
struct FleetProgress {
  std::uint64_t members = 0;     // counted, this member included
  Position low;                  // low watermark: the position that all of them have reached
  std::uint64_t level = 0;       // members at this member's own position
  std::vector<Slowest> slowest;  // members farthest behind, at most kMaxSlowest
};
inline constexpr std::size_t kMaxSlowest = 3;

struct Counters {
  std::uint64_t changesApplied = 0;
  std::uint64_t snapshotsInstalled = 0;           // snapshots installed
  std::uint64_t sent = 0, sentBytes = 0;          // messages; bytes include frameBytes
  std::uint64_t received = 0, receivedBytes = 0;  // messages; bytes include frameBytes
  std::uint64_t deferred = 0;                     // messages that were held back by the budget
  std::uint64_t broken = 0;                       // malformed messages: truncated, corrupted or oversized
  std::uint64_t repeated = 0;                     // messages ignored as duplicate, unexpected or out of order
  std::uint64_t diverged = 0;     // digest mismatches after changes, each followed by a snapshot request
  std::uint64_t parentsLeft = 0;  // parents left because they were unresponsive, stale, slow or gone
  std::uint64_t turnedAway = 0;   // children refused beyond the limit
};

class Disseminator {
 public:
  explicit Disseminator(Settings settings);
  ~Disseminator();
  Disseminator(const Disseminator&) = delete;
  Disseminator& operator=(const Disseminator&) = delete;

  // At a voter: passes on what the Raft group committed. `held` is the register after all of `applied`, the
  // commands applied since the last call, in order; where they do not connect to the state here (after a
  // start or a Raft snapshot), `held` is taken as a whole. `leader`: name of the current leader, which
  // receives this voter's counts; empty: not known, so the register counts as stale.
  std::vector<Out> agreed(const agreement::Register& held, const std::vector<agreement::Command>& applied,
                          const std::string& leader, Nanos now);

  // At a member that requested the whole register from a voter because nothing arrived through the tree:
  // takes `whole` if it is later than the current register, so that the log continues from there and no
  // snapshot is fetched. Ignored at a voter.
  std::vector<Out> adopt(const agreement::Register& whole, Nanos now);

  // Sets the membership view. The tree is recomputed, in time proportional to the members, at most once per
  // beatEvery however often this is called.
  void sees(std::vector<Peer> view);
  std::vector<Out> tick(Nanos now);  // to be called every 100 ms or more often
  std::vector<Out> received(const std::string& from, std::string_view bytes, Nanos now);

  const agreement::Register& held() const;
  Position position() const;
  // Time since a voter that knew of a leader last confirmed that the register held here is current; negative:
  // never.
  Nanos age(Nanos now) const;
  const std::string& parent() const;  // empty: none (this member is a voter, or no parent is available)
  std::size_t children() const;
  FleetProgress inForce() const;
  const Counters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The key under which the first leader of a new voters' state writes its generation, in decimal.
inline constexpr const char* kGenerationKey = "log/generation";

}  // namespace topazweir::dissemination

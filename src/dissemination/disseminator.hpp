// How what the voters have agreed on reaches every member: numbered changes pushed down a dissemination tree
// of voters, relays and members; a snapshot in pieces for who is behind the tail of the log; the low
// watermark comes back up as counts. Pure: messages, the view and `now` in, messages out. Why it is as it is:
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

// Where a register stands. The generation is that of the voters' state: a new one, after all of their folders
// were emptied, outranks every number of an earlier one. Ordered by the generation, then the number.
struct Position {
  std::uint64_t generation = 0;  // Unix ms at which the first leader began it; 0: not known yet
  std::uint64_t number = 0;      // commands applied, agreement::Register::commands()
  auto operator<=>(const Position&) const = default;
};
Position positionOf(const agreement::Register& held);

struct Settings {
  std::string self;
  std::string zone;
  bool votes = false;               // this one keeps the register itself, by agreement
  std::vector<std::string> voters;  // names; none: nothing is disseminated
  std::vector<std::string>
      relays;  // names of those that alone relay while any of them is there; none: members do
  // Children of a voter or relay as planned; at most twice as many are taken. Their beats, and all that they
  // missed in an hour's cut, have to fit into its bytes.
  std::size_t fanOut = 5;
  Nanos beatEvery = 250'000'000;     // between two words of a parent
  Nanos silentAfter = 800'000'000;   // without a word a parent is left for the next one
  Nanos staleAfter = 2'000'000'000;  // age of its news from which one with fresher news is looked for
  std::size_t tailChanges = 4096, tailBytes = 1024 * 1024;  // of the log, kept for who is behind
  std::uint64_t snapshotEvery = 512;  // changes; everywhere at the same numbers, so that pieces of one go on
                                      // from any parent
  std::size_t pieceBytes = 1000;      // of a snapshot, a message each
  std::size_t mostSnapshot = 64 * 1024 * 1024;
  double bytesPerSecond = 2048;         // sent in the mean, all messages of this part
  std::size_t burstBytes = 240 * 1024;  // and in a burst: 6 KB/s in any minute
  std::size_t frameBytes = 48;          // of the wire around each message
  std::uint64_t seed = 1;
};

struct Peer {  // a member as the view shows it
  std::string name, zone;
  bool alive = false;  // suspects count as alive
  bool operator==(const Peer&) const = default;
};

struct Out {
  std::string to;     // name of a member
  std::string bytes;  // at most kMostMessage
};
inline constexpr std::size_t kMostMessage = 16 * 1024;  // beyond a datagram it goes by stream

struct Slowest {
  std::string name;
  Position at;
};

// What is in force, by the counts that have come up the tree to this one. Of a leader: the whole fleet's.
struct InForce {
  std::uint64_t members = 0;     // counted, itself included
  Position low;                  // what all of them have: the low watermark
  std::uint64_t level = 0;       // how many have this one's own position
  std::vector<Slowest> slowest;  // the farthest behind, at most kSlowest
};
inline constexpr std::size_t kSlowest = 3;

struct Counters {
  std::uint64_t changesApplied = 0, snapshotsTaken = 0;                    // snapshots put in place whole
  std::uint64_t sent = 0, sentBytes = 0, received = 0, receivedBytes = 0;  // with frameBytes
  std::uint64_t deferred = 0;     // messages that waited for the budget
  std::uint64_t broken = 0;       // not read: cut off, altered, oversized
  std::uint64_t repeated = 0;     // known already, or out of order: passed over
  std::uint64_t diverged = 0;     // the digest after changes was not the sender's: a snapshot was asked for
  std::uint64_t parentsLeft = 0;  // silent, stale or gone
  std::uint64_t turnedAway = 0;   // children beyond twice the fan-out
};

class Disseminator {
 public:
  explicit Disseminator(Settings settings);
  ~Disseminator();
  Disseminator(const Disseminator&) = delete;
  Disseminator& operator=(const Disseminator&) = delete;

  // Of a voter. What is agreed on: `held` is the register after all of `applied`, the commands that led from
  // the latest call to it in order; where they don't connect (a start, a snapshot), `held` is taken whole.
  // `led`: this voter knows of a leader, so that its register is fresh. `leader`: its name; counts go there.
  std::vector<Out> agreed(const agreement::Register& held, const std::vector<agreement::Command>& applied,
                          const std::string& leader, Nanos now);

  // Of a member that has asked a voter for the whole register, where no word came down the tree: taken whole
  // if it is later than what is held, so that the log goes on from there and no snapshot is fetched.
  std::vector<Out> adopt(const agreement::Register& whole, Nanos now);

  // The view has changed. Costs of the order of its members, at most once per beat, however often it is told.
  void sees(std::vector<Peer> view);
  std::vector<Out> tick(Nanos now);  // every 100 ms or more often
  std::vector<Out> received(const std::string& from, std::string_view bytes, Nanos now);

  const agreement::Register& held() const;
  Position position() const;
  // Since when a voter that knew of a leader last vouched for what is held here; negative: never.
  Nanos age(Nanos now) const;
  const std::string& parent() const;  // empty: none (a voter, or nobody is there)
  std::size_t children() const;
  InForce inForce() const;
  const Counters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The key under which the first leader of new voters' state writes its generation, in decimal.
inline constexpr const char* kGenerationKey = "log/generation";

}  // namespace topazweir::dissemination

// The register as this member holds it, with a bounded tail of the log that led to it, a digest of its
// content and snapshots for those whom the tail doesn't reach. Bounded by the register's own limits,
// tailChanges and tailBytes, and two snapshots; the tail shrinks from its old end, the older snapshot goes
// once nobody has asked for it for a while.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "agreement/register.hpp"
#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

class Replica {
 public:
  struct Limits {
    std::size_t tailChanges, tailBytes;
    std::uint64_t snapshotEvery;
  };
  struct Frozen {
    Position at;
    std::uint64_t digest = 0, hash = 0;  // of the content; of the bytes
    std::string bytes;
    Nanos askedAt = 0;
  };

  explicit Replica(Limits limits) : limits_(limits) {}

  const agreement::Register& held() const { return held_; }
  const Position& position() const { return position_; }
  std::uint64_t digest() const { return digest_; }
  std::uint32_t mark() const { return mark_; }  // short hash of position and digest

  // All of them, or none where the digest after the last is another.
  bool apply(const std::vector<agreement::Command>& commands, std::optional<std::uint64_t> digest);
  void replace(agreement::Register whole);
  // False: not a whole register of that number and generation. `bytes` are kept to be handed on.
  bool restore(std::string bytes, const Position& at, std::uint64_t hash);

  // Whether one with this number and digest is at a point of the history that the tail goes on from.
  bool onTail(std::uint64_t number, std::uint64_t digest) const;
  std::uint64_t base() const { return base_; }  // number before the tail's first change
  const std::string& commandAt(std::uint64_t number) const { return tail_[number - base_ - 1].command; }
  std::uint64_t digestAt(std::uint64_t number) const;
  std::size_t tailBytesFrom(std::uint64_t number) const;

  // The one that lies beyond `from` and that the tail goes on from; made of the present state where there is
  // none, at most once a second. None: later.
  const Frozen* frozenBeyond(const Position& from, Nanos now);
  const Frozen* latestFrozen() const { return frozen_.empty() ? nullptr : &frozen_.back(); }
  const Frozen* frozen(std::uint64_t number, std::uint64_t hash, Nanos now);

  static std::uint64_t hashOf(std::string_view bytes);

 private:
  struct Change {
    std::string command;
    std::uint64_t digest = 0;     // after it
    std::size_t bytesBefore = 0;  // of all changes since the start
  };
  void place();  // position and mark anew
  void trim();
  Frozen freeze() const;
  void keep(Frozen frozen);

  Limits limits_;
  agreement::Register held_;
  Position position_;
  std::uint64_t digest_ = 0, base_ = 0, baseDigest_ = 0;
  std::uint32_t mark_ = 0;
  std::deque<Change> tail_;
  std::size_t bytes_ = 0;      // of all changes since the start
  std::deque<Frozen> frozen_;  // at most two, the latest last
  Nanos madeAt_ = 0;
};

}  // namespace topazweir::dissemination

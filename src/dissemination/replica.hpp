// This member's replica of the register, with a bounded tail of the log that led to it, a digest of its
// content and snapshots for members that the tail does not reach. Bounded by the register's own limits,
// tailChanges and tailBytes, and two snapshots; the tail is trimmed from its old end, the older snapshot is
// dropped once it has not been requested for a while.
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
    std::uint64_t snapshotEvery;  // changes
  };
  struct Snapshot {
    Position at;
    std::uint64_t digest = 0;  // of the content
    std::uint64_t hash = 0;    // of the bytes
    std::string bytes;
    Nanos requestedAt = 0;
  };

  explicit Replica(Limits limits) : limits_(limits) {}

  const agreement::Register& held() const { return held_; }
  const Position& position() const { return position_; }
  std::uint64_t digest() const { return digest_; }
  std::uint32_t mark() const { return mark_; }  // short hash of position and digest

  // Applies all commands; applies none and returns false if `digest` is given and does not match the digest
  // after the last command.
  bool apply(const std::vector<agreement::Command>& commands, std::optional<std::uint64_t> digest);
  void replace(agreement::Register whole);
  // Installs a snapshot and keeps its bytes for other members; false: it is not a valid register at `at`.
  bool restore(std::string bytes, const Position& at, std::uint64_t hash);

  // Whether a register with this number and digest is a prefix of the history that the tail continues.
  bool onTail(std::uint64_t number, std::uint64_t digest) const;
  std::uint64_t base() const { return base_; }  // number before the tail's first change
  const std::string& commandAt(std::uint64_t number) const { return tail_[number - base_ - 1].command; }
  std::uint64_t digestAt(std::uint64_t number) const;
  std::size_t tailBytesFrom(std::uint64_t number) const;

  // The latest snapshot, if it is beyond `from` and the tail continues it; otherwise a new one of the current
  // state, at most one per second. Null: try again later.
  const Snapshot* snapshotBeyond(const Position& from, Nanos now);
  const Snapshot* latestSnapshot() const { return snapshots_.empty() ? nullptr : &snapshots_.back(); }
  const Snapshot* findSnapshot(std::uint64_t number, std::uint64_t hash, Nanos now);

  static std::uint64_t hashOf(std::string_view bytes);

 private:
  struct Change {
    std::string command;
    std::uint64_t digest = 0;     // after this change
    std::size_t bytesBefore = 0;  // total of all earlier changes since the start
  };
  void updatePosition();  // recomputes position and mark
  void trim();
  Snapshot makeSnapshot() const;
  void keep(Snapshot snapshot);

  Limits limits_;
  agreement::Register held_;
  Position position_;
  std::uint64_t digest_ = 0;
  std::uint64_t base_ = 0, baseDigest_ = 0;
  std::uint32_t mark_ = 0;
  std::deque<Change> tail_;
  std::size_t bytes_ = 0;           // total of all changes since the start
  std::deque<Snapshot> snapshots_;  // at most two, the latest last
  Nanos snapshotMadeAt_ = 0;
};

}  // namespace topazweir::dissemination

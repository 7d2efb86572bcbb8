// The persistent state of a Raft voter (term, vote, log and snapshot) and the interface through which it is
// written. FileStore keeps it on disk, MemoryStore in memory.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace topazweir::agreement {

// An entry of the replicated log.
struct Entry {
  std::uint64_t term = 0;
  int type = 0;  // the library's raft_entry_type: command, barrier or configuration change
  std::string bytes;
  bool operator==(const Entry&) const = default;
};

// The state after all entries up to and including `index`, which it replaces.
struct Snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t configurationIndex = 0;  // of the entry that holds the configuration (the list of voters)
  std::string bytes;
  bool operator==(const Snapshot&) const = default;
};

struct PersistentState {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;        // id of the candidate voted for in this term; 0: none
  std::uint64_t firstIndex = 1;  // of the first entry in `entries`
  std::vector<Entry> entries;
  Snapshot snapshot;  // index 0: none
  std::uint64_t lastIndex() const { return firstIndex + entries.size() - 1; }
};

// Each call returns true once the change is durable. After false the voter must stop taking part, since Raft
// is safe only if terms, votes and entries survive a restart.
class Store {
 public:
  virtual ~Store() = default;
  virtual const PersistentState& state() const = 0;
  virtual bool setTerm(std::uint64_t term) = 0;  // to a later term; resets the vote
  virtual bool setVote(std::uint64_t vote) = 0;
  virtual bool append(const std::vector<Entry>& entries) = 0;
  virtual bool truncate(std::uint64_t fromIndex) = 0;  // removes the entries from this index on
  // `trailing`: the number of entries up to the snapshot's index that are kept beside it. 0: all entries are
  // removed, later ones too, since the snapshot was received from another voter and replaces the log.
  virtual bool put(const Snapshot& snapshot, std::uint64_t trailing) = 0;
};

// Keeps the state in memory only. FileStore holds what it has read and written in one; simulations use it as
// a disk.
class MemoryStore : public Store {
 public:
  const PersistentState& state() const override { return state_; }
  bool setTerm(std::uint64_t term) override {
    state_.term = term;
    state_.vote = 0;
    return true;
  }
  bool setVote(std::uint64_t vote) override {
    state_.vote = vote;
    return true;
  }
  bool append(const std::vector<Entry>& entries) override {
    state_.entries.insert(state_.entries.end(), entries.begin(), entries.end());
    return true;
  }
  bool truncate(std::uint64_t fromIndex) override {
    if (fromIndex >= state_.firstIndex && fromIndex <= state_.lastIndex())
      state_.entries.resize(fromIndex - state_.firstIndex);
    return true;
  }
  bool put(const Snapshot& snapshot, std::uint64_t trailing) override;
  // Removes all entries; the next one appended gets this index.
  bool resetLog(std::uint64_t firstIndex) {
    state_.firstIndex = firstIndex;
    state_.entries.clear();
    return true;
  }

 private:
  PersistentState state_;
};

}  // namespace topazweir::agreement

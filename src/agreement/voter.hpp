// One voter of the fleet's Raft group (Ongaro, Ousterhout 2014), built on libraft's core. It has no clock and
// no network of its own: time and received messages are passed in, messages to send and results are returned.
// Its persistent state is in the Store alone.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agreement/register.hpp"
#include "agreement/store.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::agreement {

using VoterId = std::uint64_t;  // from 1

struct VoterOptions {
  VoterId self = 0;
  std::vector<VoterId> voters;  // all of them, including this one
  // Election timeout: time without a heartbeat after which an election starts, randomised between this and
  // twice as much.
  Nanos electionTimeout = 1'000'000'000;
  Nanos heartbeatInterval = 200'000'000;
  unsigned snapshotEvery = 512;  // entries between two snapshots
  unsigned trailing = 64;        // entries kept before a snapshot
  std::uint64_t seed = 1;
};

class Voter {
 public:
  struct Out {
    VoterId to = 0;
    std::string bytes;
  };
  // The result of a proposal. `lost`: another leader's entry took its place, or the result is unknown; the
  // proposer has to look into the register.
  struct Outcome {
    std::uint64_t token = 0;
    bool lost = false;
    Result result;
  };
  struct Step {
    std::vector<Out> out;
    std::vector<Outcome> outcomes;
    // The commands applied to the register, in order, including those without effect. After a snapshot that
    // replaced the register, only the commands since. An entry that cannot be decoded as a command changes
    // nothing and is not counted.
    std::vector<Command> applied;
  };

  // `store`: empty, or the state that this voter has saved; must outlive the voter. Throws std::runtime_error
  // if the store cannot be used or if a voter's id is 0 or repeated.
  Voter(const VoterOptions& options, Store& store, Nanos now);
  ~Voter();
  Voter(const Voter&) = delete;
  Voter& operator=(const Voter&) = delete;

  Step tick(Nanos now);                                            // to be called several times per heartbeat
  Step received(VoterId from, std::string_view bytes, Nanos now);  // malformed messages are ignored
  // None: this voter is not the leader. Otherwise an outcome with this token follows while this voter lives.
  std::optional<Step> propose(const Command& command, std::uint64_t token, Nanos now);

  bool leads() const;
  VoterId leader() const;  // 0: not known
  std::uint64_t term() const;
  bool works() const;  // false: its store has failed, and it no longer takes part
  const Register& held() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace topazweir::agreement

// One voter of the fleet's agreement: Raft (Ongaro, Ousterhout 2014) by libraft's core, on whatever clock and
// wire it is given. Bytes and `now` in, bytes and results out; it keeps its word in the store alone.
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
  std::vector<VoterId> voters;         // all, this one among them
  Nanos electionTime = 1'000'000'000;  // without word of a leader, drawn up to twice that
  Nanos heartbeat = 200'000'000;
  unsigned snapshotEvery = 512, trailing = 64;  // entries
  std::uint64_t seed = 1;
};

class Voter {
 public:
  struct Out {
    VoterId to = 0;
    std::string bytes;
  };
  // What has become of a proposal. `lost`: another leader's word stands in its place, or it is not known; the
  // one who proposed has to look into the register.
  struct Outcome {
    std::uint64_t token = 0;
    bool lost = false;
    Result result;
  };
  struct Step {
    std::vector<Out> out;
    std::vector<Outcome> outcomes;
    // Applied to the register, in order, those without effect included; none from before a snapshot that was
    // put in its place whole. What can't be read as a command changes nothing and isn't counted.
    std::vector<Command> applied;
  };

  // `store`: empty, or what this voter has kept; must outlive it. Throws std::runtime_error where the store
  // can't be used.
  Voter(const VoterOptions& options, Store& store, Nanos now);
  ~Voter();
  Voter(const Voter&) = delete;
  Voter& operator=(const Voter&) = delete;

  Step tick(Nanos now);                                            // a few times a heartbeat
  Step received(VoterId from, std::string_view bytes, Nanos now);  // broken bytes are passed over
  // None: this is not the leader. Else an outcome follows, for as long as this voter lives.
  std::optional<Step> propose(const Command& command, std::uint64_t token, Nanos now);

  bool leads() const;
  VoterId leader() const;  // 0: not known
  std::uint64_t term() const;
  bool works() const;  // false: its store has failed, and it takes no part
  const Register& held() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace topazweir::agreement

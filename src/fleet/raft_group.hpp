// This aggregator's membership in the fleet's Raft group, if it is a voter: its persistent state, the
// messages to the other voters, and the commands that a leader proposes by itself. These are the generation,
// the time at which this state of the voters began, and the role of coordinator, which always has a holder.
// Makes no decision that is not in the register.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agreement/file_store.hpp"
#include "agreement/voter.hpp"
#include "config/membership_config.hpp"

namespace topazweir::fleet {

class RaftGroup {
 public:
  struct Out {
    std::string to;  // a voter's name
    std::string bytes;
  };
  // Key of the register that names the fleet's coordinator: the leader, with a fence that only increases.
  static constexpr const char* kCoordinatorKey = "role/coordinator";

  // Throws std::runtime_error with a readable message if the persistent state cannot be used.
  RaftGroup(const config::MembershipConfig& config, std::uint64_t seed, Nanos now);

  std::vector<Out> tick(Nanos now);
  // Handles a message of another voter. False: ignored, since the sender is not a voter here, or its list of
  // voters is another one.
  bool received(const std::string& from, std::string_view bytes, Nanos now, std::vector<Out>& out);
  // False: this voter is not the leader. Whether the command took effect is to be seen in the register.
  bool propose(const agreement::Command& command, Nanos now, std::vector<Out>& out);

  std::string leader() const;  // empty: not known
  bool leads() const { return voter_->leads(); }
  bool works() const { return voter_->works(); }
  std::uint64_t term() const { return voter_->term(); }
  const agreement::Register& held() const { return voter_->held(); }
  // The commands applied to the register since the last call, in order. If a snapshot has been installed
  // since, these are fewer than the increase of its number of commands.
  std::vector<agreement::Command> takeApplied() { return std::exchange(applied_, {}); }
  std::size_t truncatedBytes() const { return store_.truncatedBytes(); }  // of an incomplete last record

 private:
  std::vector<Out> collect(agreement::Voter::Step step);
  void proposeDueCommand(Nanos now, std::vector<Out>& out);
  std::optional<agreement::Command> dueCommand(Nanos now) const;

  std::string self_;
  std::vector<std::string> names_;  // by id, from 1; sorted, so that ids are the same at all voters
  std::string groupTag_;            // checksum of the voters' names, sent before each message
  agreement::FileStore store_;
  std::unique_ptr<agreement::Voter> voter_;
  std::vector<agreement::Command> applied_;
  std::uint64_t lastToken_ = 0;   // of this voter's own proposals, from 1
  bool proposalPending_ = false;  // at most one own proposal at a time
};

}  // namespace topazweir::fleet

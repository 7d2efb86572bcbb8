// This aggregator's part in the fleet's agreement, where it is a voter: its word on disk, what it says to the
// other voters, and what a leader writes into the register by itself: when this state of the voters began,
// and the one role that is always held, the coordinator's. Decides nothing that the register does not.
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

class Council {
 public:
  struct Out {
    std::string to;  // a voter's name
    std::string bytes;
  };
  // Who coordinates what the fleet does as one, by the register: the leader, under a fence that only rises.
  static constexpr const char* kCoordinator = "role/coordinator";

  // Throws std::runtime_error, in words, where its state can't be used.
  Council(const config::Membership& config, std::uint64_t seed, Nanos now);

  std::vector<Out> tick(Nanos now);
  // Of another voter. Bytes that are none, or of voters that are configured otherwise, are passed over:
  // false.
  bool received(const std::string& from, std::string_view bytes, Nanos now, std::vector<Out>& out);
  // False: this voter does not lead. Whether it was done, the register shows.
  bool propose(const agreement::Command& command, Nanos now, std::vector<Out>& out);

  std::string leader() const;  // empty: not known
  bool leads() const { return voter_->leads(); }
  bool works() const { return voter_->works(); }
  std::uint64_t term() const { return voter_->term(); }
  const agreement::Register& held() const { return voter_->held(); }
  // What has been applied to it since the last call, in order. Where a snapshot has come in between, fewer
  // than its number of commands has risen by.
  std::vector<agreement::Command> takeApplied() { return std::exchange(applied_, {}); }
  std::size_t cutOff() const { return store_.cutOff(); }  // bytes of its state that had not come in whole

 private:
  std::vector<Out> carry(agreement::Voter::Step step);
  void claim(Nanos now, std::vector<Out>& out);
  std::optional<agreement::Command> due(Nanos now) const;

  std::string self_;
  std::vector<std::string> names_;  // by id, from 1: in the order of the names, the same for all
  std::string mark_;                // of the voters' names
  agreement::FileStore store_;
  std::unique_ptr<agreement::Voter> voter_;
  std::vector<agreement::Command> applied_;
  std::uint64_t claims_ = 0;
  bool claiming_ = false;  // one proposal is out at a time
};

}  // namespace topazweir::fleet

// Polls the voters for the register. Used by a member that is not a voter, while the dissemination does not
// reach it (for example because the voters run a version without dissemination). The voters are asked in
// turn, and an answer is adopted if it is newer. No I/O: time and answers are passed in, requests are
// returned.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agreement/register.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::agreement {

// Encodes a voter's answer to a member whose register has applied `known` commands. The register is included
// only if it is newer. `led`: whether the voter knows of a leader.
std::string encodeFollowerReply(const Register& held, bool led, std::uint64_t known);

class Follower {
 public:
  // `interval`: time between two requests. `initialDelay`: time before the first request after rest(),
  // randomised by the caller so that members that are cut off together do not all ask at once.
  Follower(std::vector<std::string> voters, Nanos interval, Nanos initialDelay)
      : voters_(std::move(voters)), interval_(interval), initialDelay_(initialDelay) {}

  // The voter to ask now; none while no request is due, or without voters.
  std::optional<std::string> tick(Nanos now);
  // Polling is not needed at present: postpones the next request by the initial delay.
  void rest(Nanos now) { nextRequestAt_ = now + initialDelay_; }
  // Forgets the register, since a newer one is held elsewhere.
  void drop() { held_ = {}; }
  // Handles a voter's answer. A register that is not newer than the held one is ignored. False: malformed.
  bool take(std::string_view answer, Nanos now);

  const Register& held() const { return held_; }
  // Time since the last answer of a voter that knew of a leader; negative: there was none.
  Nanos age(Nanos now) const { return lastLedAnswerAt_ == 0 ? -1 : now - lastLedAnswerAt_; }

  // Number of request intervals for which an answer counts as fresh: enough to ask each of five voters, and
  // one of them again.
  static constexpr int kFreshIntervals = 6;

 private:
  std::vector<std::string> voters_;
  Nanos interval_;
  Nanos initialDelay_;
  Nanos nextRequestAt_ = 0;
  Nanos lastLedAnswerAt_ = 0;
  std::size_t next_ = 0;  // number of requests so far: selects the next voter
  Register held_;
};

}  // namespace topazweir::agreement

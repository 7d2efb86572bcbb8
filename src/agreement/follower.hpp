// The register as a member holds it that is no voter and that its dissemination does not reach, such as among
// voters from before it: asked of one voter after the other, taken where it is later. Pure: `now` and answers
// in, questions out.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agreement/register.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::agreement {

// What a voter answers to one whose register holds `known` commands. `led`: it knows of a leader.
std::string answerToFollower(const Register& held, bool led, std::uint64_t known);

class Follower {
 public:
  // `every`: between two questions. `wait`: before the first one after rest(), drawn, so that many that are
  // cut off at once don't all ask at once.
  Follower(std::vector<std::string> voters, Nanos every, Nanos wait)
      : voters_(std::move(voters)), every_(every), wait_(wait) {}

  // The voter to be asked now; none: it is not time yet, or there is no voter.
  std::optional<std::string> tick(Nanos now);
  void rest(Nanos now) { askAt_ = now + wait_; }  // it is not needed
  void drop() { held_ = {}; }                     // what is held elsewhere is later
  // False: broken. An older register than the one held is passed over.
  bool take(std::string_view answer, Nanos now);

  const Register& held() const { return held_; }
  // Since when a voter that knew of a leader last answered; negative: never.
  Nanos age(Nanos now) const { return ledAt_ == 0 ? -1 : now - ledAt_; }

  static constexpr int kFresh =
      6;  // questions without such an answer: each voter of five was asked, and one again

 private:
  std::vector<std::string> voters_;
  Nanos every_, wait_;
  Nanos askAt_ = 0, ledAt_ = 0;
  std::size_t next_ = 0;
  Register held_;
};

}  // namespace topazweir::agreement

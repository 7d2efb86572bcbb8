// The failure detector on a virtual clock: each member's view while others crash, stall, leave or are
// partitioned.
#include "check.hpp"
#include "lab/membership_simulation.hpp"
#include "seeds.hpp"

namespace topazweir::test {
namespace {

using membership::State;

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;

void detectsCrashedMembersOnly(std::uint64_t seed) {
  lab::MembershipSimulation fleet(40, seed);
  CHECK(fleet.oneView());
  fleet.kill(7);
  fleet.run(60 * kSec);
  CHECK(fleet.hold(7, State::failed, State::failed) == 39 && fleet.falseFailures == 0 && fleet.oneView());
  for (int i = 10; i < 20; ++i) fleet.kill(i);
  fleet.run(90 * kSec);
  CHECK(fleet.oneView() && fleet.falseFailures == 0);
  fleet.start(7);  // restarted under its old name without any state
  fleet.run(30 * kSec);
  CHECK(fleet.oneView() && fleet.at(7).self().incarnation > 0);
  fleet.leave(8);
  fleet.run(30 * kSec);
  CHECK(fleet.hold(8, State::left, State::left) == fleet.running());
  CHECK(fleet.maxUpdates <= membership::Settings().updatesPerMessage);
}

// A member that was stalled must not declare those members failed whose messages it has not read meanwhile.
void stalledMemberLowersItsOwnHealth(std::uint64_t seed) {
  lab::MembershipSimulation fleet(30, seed);
  fleet.stall(4, 10 * kSec);
  fleet.run(10 * kSec + 100 * kMs);
  for (const auto& [name, member] : fleet.at(4).view()) CHECK(member.record.state <= State::suspect);
  CHECK(fleet.at(4).health() > 0);
  fleet.run(60 * kSec);
  CHECK(fleet.oneView() && fleet.falseFailures == 0);
}

void partitionsHeal(std::uint64_t seed) {
  lab::MembershipSimulation fleet(30, seed);
  fleet.cut = [](int a, int b) { return (a < 12) != (b < 12); };
  fleet.run(90 * kSec);
  CHECK(fleet.hold(0, State::failed, State::failed) == 18 &&
        fleet.hold(20, State::failed, State::failed) == 12);
  fleet.cut = [](int, int) { return false; };
  fleet.run(90 * kSec);
  CHECK(fleet.oneView());
  fleet.cut = [](int a, int b) {
    return a == 3 && b == 5;
  };  // one direction of one pair: indirect probes succeed
  fleet.run(120 * kSec);
  CHECK(fleet.oneView());
}

// With datagram loss, Lifeguard causes fewer false positives than plain SWIM, and each of them is reverted.
void lossCausesFewFalsePositives() {
  int with = 0, without = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const bool lifeguard : {true, false}) {
      membership::Settings s;
      s.lifeguard = lifeguard;
      lab::MembershipSimulation fleet(30, seed, s);
      fleet.loss = 0.3;
      fleet.run(300 * kSec);
      (lifeguard ? with : without) += fleet.falseFailures;
      fleet.loss = 0;
      fleet.run(120 * kSec);
      CHECK(fleet.oneView());
    }
  CHECK(3 * with < 2 * without);  // 101 and 177; with half as many updates per datagram 284 and 1,796
}

void trafficPerMemberIsIndependentOfFleetSize() {
  const auto datagramsPerMemberSecond = [](int members) {
    lab::MembershipSimulation fleet(members, 9);
    const auto before = fleet.datagrams;
    fleet.run(60 * kSec);
    return static_cast<double>(fleet.datagrams - before) / members / 60;
  };
  const double few = datagramsPerMemberSecond(20), many = datagramsPerMemberSecond(200);
  CHECK(many < 1.5 * few);
}

}  // namespace
}  // namespace topazweir::test

// Arguments: first and last seed. CI runs two seeds, a longer campaign more: topazweir_membership_test 3 200.
int main(int argc, char** argv) {
  using namespace topazweir::test;
  const Seeds seeds(argc, argv, 2);
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    detectsCrashedMembersOnly(seed);
    stalledMemberLowersItsOwnHealth(seed);
    partitionsHeal(seed);
  }
  lossCausesFewFalsePositives();
  trafficPerMemberIsIndependentOfFleetSize();
}

// Many instances of the decision module before simulated servers. Guards against behaviour that is harmless
// in one aggregator but harmful in a fleet, where each instance sees only a small part of the traffic.
#include <algorithm>

#include "fleet_simulation.hpp"

namespace topazweir::test {
namespace {

// Slow servers are found once and then probed with hedged requests, instead of being tried anew by each
// query. An aggregator sends to a given server only every second or two, which is longer than any
// ejection, and its queries end before a server could count as unresponsive, so abandoned attempts must
// add up over queries.
void sickServersAreTriedByCopies() {
  FleetSimulation w(50, 30);
  w.run(6 * kSec, 60, 18);
  for (ServerId id : {4, 11, 20, 27}) w.node(id).slower = 20;
  w.run(4 * kSec, 60, 18);  // all instances have found the slow servers by then
  w.firstAttempts.clear();
  w.asked = w.answeredInTime = 0;
  w.run(10 * kSec, 60, 18);
  int all = 0;
  int toSlow = 0;
  for (const auto& [id, count] : w.firstAttempts) {
    all += count;
    if (w.node(id).slower > 1) toSlow += count;
  }
  CHECK(toSlow * 100 < all * 1);  // they are 13 in 100 of the fleet
  CHECK(w.answeredInTime * 100 > w.asked * 93);
  for (ServerId id : {4, 11, 20, 27}) w.node(id).slower = 1;
  w.run(15 * kSec, 60, 18);
  w.firstAttempts.clear();
  w.run(10 * kSec, 60, 18);
  for (ServerId id : {4, 11, 20, 27})
    CHECK(w.firstAttempts[id] * 30 * 2 > all);  // half of a server's share or more
}

// The neighbours of a cold server leave, so that all instances turn to it. Each instance has queries for it
// only rarely and saves up its slow-start share until then; together they must stay below the load that
// overloads the server.
void coldServersWorkAndDoNotTip() {
  FleetSimulation w(100, 30);
  w.run(5 * kSec, 70, 18);
  for (ServerId id : {10, 12}) w.node(id).entry.state = ServerState::gone;
  w.node(11).entry.state = ServerState::gone;
  const Nanos started = w.now - 2400 * kMs;
  w.add(10, 99, started);
  w.node(99).slower = 2;
  std::vector<Nanos> sends;
  w.onSend = [&](ServerId id) {
    if (id == 99) sends.push_back(w.now);
  };
  w.tell();
  w.run(12 * kSec, 70, 18);
  const auto early =
      std::count_if(sends.begin(), sends.end(), [&](Nanos at) { return at - started < 6 * kSec; });
  CHECK(early > 190);  // 169 if each instance sent one part per window
  for (const Nanos at : sends) {
    const auto within = std::count_if(sends.begin(), sends.end(),
                                      [&](Nanos other) { return other >= at && other < at + 2 * kSec; });
    const double age = static_cast<double>(at - started) / (17.0 * static_cast<double>(kSec));
    const double cores = 2 * (0.22 + 0.78 * std::min(1.0, age));
    CHECK(0.020 * static_cast<double>(within) < 4 * cores * 2);  // 20 ms of work per part
  }
}

// The load exceeds the fleet's capacity. Parts rejected by overloaded servers must not be retried at all
// other holders in turn, and each instance sheds a share of its queries, so that most of the admitted ones
// are still answered in time.
void jamsDoNotFeedThemselves() {
  FleetSimulation w(100, 30);
  w.run(5 * kSec, 110, 18);
  w.asked = w.answeredInTime = 0;
  w.run(8 * kSec, 230, 18);  // the capacity is 166 queries/s
  CHECK(w.answeredInTime * 100 > w.asked * 52);
  w.run(2 * kSec, 110, 18);
  w.asked = w.answeredInTime = 0;
  w.run(3 * kSec, 110, 18);
  CHECK(w.answeredInTime * 100 > w.asked * 85);  // the overload ends soon after its cause
}

// Two neighbours are drained and the only holder left for their shards is slow and overloaded now and then.
// It must be kept busy at its capacity, instead of idling between bursts of the parts that waited for it.
void theLastHolderIsKeptAtWork() {
  FleetSimulation w(2, 12);
  w.run(5 * kSec, 100, 4);
  for (ServerId id : {4, 5}) w.node(id).entry.state = ServerState::draining;
  w.node(6).slower = 2;
  w.node(6).room = 10;
  w.tell();
  w.run(1 * kSec, 100, 4);
  w.asked = w.answeredInTime = 0;
  w.run(10 * kSec, 100, 4);
  CHECK(w.answeredInTime * 100 > w.asked * 48);  // 54 in 100; 40 if blocked at each overload
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  sickServersAreTriedByCopies();
  coldServersWorkAndDoNotTip();
  jamsDoNotFeedThemselves();
  theLastHolderIsKeptAtWork();
}

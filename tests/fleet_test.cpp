// What is harmless from one aggregator and harmful from all: many instances, each of which sees little.
#include "fleet_world.hpp"

namespace topazweir::test {
namespace {

// Sick servers are learned once, not anew by each query: an aggregator hears of a server every second or two,
// which is longer than any bench.
void sickServersAreTriedByCopies() {
  FleetWorld w(50, 30);
  w.run(6 * kSec, 60, 18);
  for (ServerId id : {4, 11, 20, 27}) w.node(id).slower = 20;
  w.run(4 * kSec, 60, 18);  // all have learned by then
  w.sent.clear(), w.asked = w.inTime = 0;
  w.run(10 * kSec, 60, 18);
  int first = 0, sick = 0;
  for (const auto& [id, count] : w.sent) {
    first += count.first;
    if (w.node(id).slower > 1) sick += count.first;
  }
  CHECK(sick * 100 < first * 4);  // their part of the fleet is 13 in 100
  CHECK(w.inTime * 100 > w.asked * 93);
  for (ServerId id : {4, 11, 20, 27}) w.node(id).slower = 1;
  w.run(15 * kSec, 60, 18);
  w.sent.clear();
  w.run(10 * kSec, 60, 18);
  for (ServerId id : {4, 11, 20, 27}) CHECK(w.sent[id].first * 30 * 2 > first);  // half its part or more
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  sickServersAreTriedByCopies();
}

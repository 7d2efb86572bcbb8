// Many aggregators lose their watch of the list at once: the one service that they all ask must get over it.
#include "platform/retry_pace.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "check.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

// A service that answers one call in so long, in turn; one that has waited too long in its queue is refused,
// and one that its caller has given up on is served all the same.
struct Service {
  Nanos each = 50 * kMs, longest = 2000 * kMs;
  Nanos free = 0;
  // When the answer comes, and whether it is the list.
  std::pair<Nanos, bool> call(Nanos now) {
    const Nanos at = std::max(now, free) + each;
    if (at - now > longest) return {now + longest, false};
    free = at;
    return {at, true};
  }
};

struct Result {
  int calls = 0, listed = 0;
  Nanos last = 0;
};

// All lose their watch at 0; returns how it went until `end`.
Result lose(int askers, Nanos end) {
  Service service;
  Result out;
  std::vector<platform::RetryPace> paces;
  std::multimap<Nanos, std::size_t> next;
  for (int i = 0; i < askers; ++i) {
    paces.emplace_back(askers, 100U + static_cast<unsigned>(i));
    next.emplace(paces.back().next(), static_cast<std::size_t>(i));
  }
  while (!next.empty() && next.begin()->first < end) {
    const auto [now, who] = *next.begin();
    next.erase(next.begin());
    ++out.calls;
    const auto [at, listed] = service.call(now);
    const Nanos given = std::min(at, now + paces[who].patience());
    if (listed && given == at) {
      ++out.listed, out.last = std::max(out.last, at);
      paces[who].succeeded();
    } else {
      next.emplace(given + paces[who].next(), who);
    }
  }
  return out;
}

// At fixed short waits and a second's patience this service never gets over it.
void aLargeFleetGetsItsListBack() {
  const auto large = lose(100, 30'000 * kMs);
  CHECK(large.listed == 100 && large.last < 12'000 * kMs);
  CHECK(large.calls < 250);
  const auto larger = lose(400, 120'000 * kMs);
  CHECK(larger.listed == 400 && larger.calls < 1200);
}

void aSmallFleetAsksSoon() {
  platform::RetryPace pace(3, 1);
  for (const Nanos most : {60, 120, 240, 480, 480}) {
    const Nanos wait = pace.next();
    CHECK(wait > 0 && wait <= most * kMs);
  }
  pace.succeeded();
  CHECK(pace.patience() == 1000 * kMs);  // one dead connection must leave the time for a second
  CHECK(pace.next() <= 60 * kMs);
}

void noNumberMakesItDeaf() {
  platform::RetryPace pace(1'000'000, 1);
  for (int i = 0; i < 10; ++i) CHECK(pace.next() <= 30'000 * kMs && pace.patience() <= 15'000 * kMs);
}

// Restarted together, with seeds of their own, they do not ask together.
void noTwoInStep() {
  std::map<Nanos, int> perTenth;
  for (unsigned i = 0; i < 100; ++i) ++perTenth[platform::RetryPace(100, i).next() / (100 * kMs)];
  for (const auto& [tenth, calls] : perTenth) CHECK(calls < 25);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  aLargeFleetGetsItsListBack();
  aSmallFleetAsksSoon();
  noNumberMakesItDeaf();
  noTwoInStep();
}

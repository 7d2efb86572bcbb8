// Runs a test's body beside an event loop with the test's fake clients and servers. Each has a thread, and
// only one of the two runs at a time, so that no locks are needed. The body waits for conditions with a
// generous limit instead of sleeping, so that results do not depend on the speed of the machine.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <semaphore>
#include <string>
#include <thread>

#include "../check.hpp"
#include "net/loop.hpp"

namespace topazweir::test {

class Stage {
 public:
  static constexpr Nanos kWaitLimitNs = 60'000'000'000;
  static constexpr Nanos kCheckIntervalNs = 5'000'000;

  net::Loop loop;

  // Runs the body, and the loop whenever the body waits. May be called once.
  void play(const std::function<void()>& body) {
    std::thread thread([&] {
      toBody_.acquire();
      body();
      finished_ = true;
      toLoop_.release();
    });
    loop.after(0, [this] { turnToBody(); });
    loop.run();
    thread.join();
  }

  // Runs the loop until the condition holds, checked every 5 ms. After the limit the test fails with a
  // message that names `what`.
  void until(const std::string& what, const std::function<bool()>& holds, Nanos limit = kWaitLimitNs) {
    const Nanos end = loop.now() + limit;
    bool held = false;
    std::function<void()> checkAgain = [&] {
      held = holds();
      held || loop.now() > end ? turnToBody() : static_cast<void>(loop.after(kCheckIntervalNs, checkAgain));
    };
    loop.after(0, checkAgain);
    toLoop_.release();
    toBody_.acquire();
    if (held) return;
    std::fprintf(stderr, "timed out waiting for: %s\n", what.c_str());
    std::_Exit(1);  // the loop's thread waits for this one, so a normal exit would deadlock
  }
  // Runs the loop for a time: to generate load, not to wait for an event.
  void runFor(Nanos time) {
    const Nanos end = loop.now() + time;
    until("time to pass", [&] { return loop.now() >= end; });
  }

 private:
  void turnToBody() {
    toBody_.release();
    toLoop_.acquire();
    if (finished_) loop.stop();
  }
  std::binary_semaphore toBody_{0}, toLoop_{0};
  bool finished_ = false;
};

}  // namespace topazweir::test

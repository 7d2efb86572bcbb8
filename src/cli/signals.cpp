// Signal handling with sigaction; see the header.
#include "cli/signals.hpp"

#include <signal.h>

#include <array>
#include <atomic>

namespace topazweir::cli {

namespace {

constexpr std::array kHandledSignals{SIGTERM, SIGINT, SIGUSR1, SIGHUP};

// The pending signals as a bit set. Static, because a signal handler gets no argument but the signal's
// number, and lock-free, because only such operations are safe in a handler.
std::atomic<unsigned>& pendingSignals() {
  static constinit std::atomic<unsigned> bits{0};
  static_assert(std::atomic<unsigned>::is_always_lock_free);
  return bits;
}

extern "C" void recordSignal(int signal) { pendingSignals().fetch_or(1U << signal); }

}  // namespace

void installSignalHandlers() {
  struct sigaction action {};
  action.sa_handler = recordSignal;
  action.sa_flags = SA_RESTART;
  sigset_t handled;
  sigemptyset(&handled);
  for (const int signal : kHandledSignals) {
    sigaction(signal, &action, nullptr);
    sigaddset(&handled, signal);
  }
  sigprocmask(SIG_UNBLOCK, &handled, nullptr);
}

std::vector<int> takePendingSignals() {
  const unsigned bits = pendingSignals().exchange(0);
  std::vector<int> out;
  for (const int signal : kHandledSignals)
    if ((bits & 1U << signal) != 0) out.push_back(signal);
  return out;
}

}  // namespace topazweir::cli

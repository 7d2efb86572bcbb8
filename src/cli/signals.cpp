#include "cli/signals.hpp"

#include <signal.h>

#include <array>
#include <atomic>

namespace topazweir::cli {

namespace {

constexpr std::array kHandled{SIGTERM, SIGINT, SIGUSR1, SIGHUP};

// The one state that a handler can reach: it is given nothing but the signal's number.
std::atomic<unsigned>& noted() {
  static constinit std::atomic<unsigned> bits{0};
  static_assert(std::atomic<unsigned>::is_always_lock_free);
  return bits;
}

extern "C" void note(int signal) { noted().fetch_or(1U << signal); }

}  // namespace

void catchSignals() {
  struct sigaction action {};
  action.sa_handler = note;
  action.sa_flags = SA_RESTART;
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : kHandled) {
    sigaction(signal, &action, nullptr);
    sigaddset(&set, signal);
  }
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

std::vector<int> takeSignals() {
  const unsigned bits = noted().exchange(0);
  std::vector<int> out;
  for (const int signal : kHandled)
    if ((bits & 1U << signal) != 0) out.push_back(signal);
  return out;
}

}  // namespace topazweir::cli

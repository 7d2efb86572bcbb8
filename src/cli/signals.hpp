// The signals that the program handles: noted in a handler, taken by the loop.
#pragma once

#include <vector>

namespace topazweir::cli {

// From now on SIGTERM, SIGINT, SIGUSR1 and SIGHUP are noted, whatever mask the process was started with.
// Handled rather than blocked and waited for: a blocked signal keeps its default action, which ends the
// process as soon as anything in it, a loaded library or a thread of its own, waits with another mask.
void catchSignals();

// What has come since the last call; several of one kind count once.
std::vector<int> takeSignals();

}  // namespace topazweir::cli

// The signals that the program handles: recorded by a signal handler, polled by the event loop.
#pragma once

#include <vector>

namespace topazweir::cli {

// Installs handlers that record SIGTERM, SIGINT, SIGUSR1 and SIGHUP, and unblocks these signals, whatever
// mask the process inherited. Handlers are used instead of blocking the signals and waiting for them: a
// blocked signal keeps its default action, which ends the process as soon as any thread, such as one of a
// loaded library, waits with another mask.
void installSignalHandlers();

// Returns the signals received since the last call. A signal that came several times is returned once.
std::vector<int> takePendingSignals();

}  // namespace topazweir::cli

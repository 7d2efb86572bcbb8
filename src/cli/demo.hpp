// `topazweir demo`: the program and fake nodes, feature servers and gRPC backends, all in one process on
// loopback.
#pragma once

#include "cli/options.hpp"

namespace topazweir::cli {

// Sends one query through each front, then serves until SIGTERM, or ends at once with --once. Returns the
// exit code.
int demo(const Options& options);

}  // namespace topazweir::cli

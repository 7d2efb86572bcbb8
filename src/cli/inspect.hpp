// `topazweir check` and `topazweir explain`: evaluate an operator file without serving anything.
#pragma once

#include <iosfwd>

#include "cli/options.hpp"

namespace topazweir::cli {

// Prints the effective settings, marking those that have their default value. Returns the exit code; throws
// ConfigError.
int check(const Options& options, std::ostream& out);
// Prints which route a call takes and why, with its pool, shard, backends and limits. Returns the exit code,
// kFailed for a call that no route serves; throws ConfigError.
int explain(const Options& options, std::ostream& out);

}  // namespace topazweir::cli

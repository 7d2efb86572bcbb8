// `topazweir check` and `topazweir explain`: what a file says, without serving anything.
#pragma once

#include <iosfwd>

#include "cli/options.hpp"

namespace topazweir::cli {

// Prints the effective settings, each with its value and whether it is the default. Throws ConfigError.
int check(const Options& options, std::ostream& out);
// Prints which route a call takes and why, its pool, shard, backends and limits. Throws ConfigError.
int explain(const Options& options, std::ostream& out);

}  // namespace topazweir::cli

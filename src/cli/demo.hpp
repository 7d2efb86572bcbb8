// `topazweir demo`: the program between stand-ins, all in this process and on loopback.
#pragma once

#include "cli/options.hpp"

namespace topazweir::cli {

int demo(const Options& options);

}  // namespace topazweir::cli

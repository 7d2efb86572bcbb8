// The range of seeds for a test's randomised schedules. CI uses the default range; a longer campaign gives
// the first and the last seed on the command line.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace topazweir::test {

// Both bounds are inclusive.
struct Seeds {
  Seeds(int argc, char** argv, std::uint64_t defaultLast) : last(defaultLast) {
    if (argc > 1) first = std::strtoull(argv[1], nullptr, 10);
    if (argc > 2) last = std::strtoull(argv[2], nullptr, 10);
  }
  std::uint64_t first = 1;
  std::uint64_t last;
};

}  // namespace topazweir::test

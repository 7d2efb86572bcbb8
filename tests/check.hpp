// Assertions that are also active in Release builds.
#pragma once

#include <cstdio>
#include <cstdlib>

// Prints the failed condition and ends the process with exit code 1.
#define CHECK(condition)                                                           \
  do {                                                                             \
    if (!(condition)) {                                                            \
      std::fprintf(stderr, "%s:%d: failed: %s\n", __FILE__, __LINE__, #condition); \
      std::exit(1);                                                                \
    }                                                                              \
  } while (false)

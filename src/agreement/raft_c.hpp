// Includes libraft's C header with C linkage, which the header itself does not declare.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>

extern "C" {
#include <raft.h>
}

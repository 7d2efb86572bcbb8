// The record that the processes of one aggregator exchange during an upgrade. src/ops defines its format and
// where it is stored.
#pragma once

#include <string>

#include "operation/cold_sends.hpp"
#include "operation/holds.hpp"

namespace topazweir::operation {

// A switch set by commands; the latest command wins.
struct Switch {
  bool on = false;
  Nanos at = 0;  // time of the command, Unix time; 0: never set
  bool operator==(const Switch&) const = default;
};

// Identifies a process. They are ordered by start time; the later one is the younger.
struct ProcessId {
  Nanos startedAt = 0;  // Unix time
  std::int64_t pid = 0;
  auto operator<=>(const ProcessId&) const = default;
};

// Life cycle of a process.
enum class Phase {
  starting,  // does not accept clients yet
  serving,   // accepts clients, unless drained
  ending,    // graceful shutdown: finishes the requests it has taken
  ended      // has finished
};
// Names in the stored record, indexed by Phase.
inline constexpr const char* kPhaseNames[] = {"starting", "serving", "ending", "ended"};

// The state that one process publishes.
struct Record {
  std::string aggregator;  // name of the aggregator
  ProcessId process;
  Phase phase = Phase::starting;
  Nanos writtenAt = 0;  // Unix time
  Holds::ByInstance holds;
  Switch drained;
  ColdSends::ByInstance coldSends;
  std::string list;  // of leafs, in discovery's format; empty: none
};

}  // namespace topazweir::operation

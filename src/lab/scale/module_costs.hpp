// Cost of the decision module by the number of leafs: fitted on smaller sizes, predicted for the largest.
#pragma once

namespace topazweir::lab::scale {

// Prints the tables of docs/results/scale.md about the module. Returns 0 if every figure of the largest size
// is within kMaxRelativeError of its prediction. `quick`: few sizes; only counts and bytes decide, since
// times vary with the load of the machine.
int measureModule(bool quick);

// Runs 0.3 s of the target's traffic, one event per turn, for a profiler that counts instructions.
int runModuleTrafficForProfiler(int leafs);

// Share of a cold leaf's slow-start limit by the number of aggregators, on one virtual clock. Returns 0 if
// the sum over all aggregators stays below the limit at each fleet size.
int measureColdLeafShares(bool quick);

// Prints the computed connections, handshakes and rates of the target; measures nothing.
void printTarget();

}  // namespace topazweir::lab::scale

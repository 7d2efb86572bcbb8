// What the decision module costs by the number of leafs: fitted on smaller sizes, told for the largest.
#pragma once

namespace topazweir::lab::scale {

// Prints the tables of docs/results/scale.md on the module. 0: every figure of the largest size came within a
// quarter of its prediction. `quick`: few sizes, and only counts and bytes decide, no times.
int runModuleSlopes(bool quick);

// 0.3 s of the target's traffic, each event a turn, for a profiler that counts instructions.
int runModuleTraffic(int leafs);

// The share of a cold leaf's ceiling by the number of aggregators, on one virtual clock. 0: the sum of all
// stays below the ceiling everywhere.
int runColdShares(bool quick);

// Connections, handshakes and the arithmetic of the target: computed, nothing is run.
void printTarget();

}  // namespace topazweir::lab::scale

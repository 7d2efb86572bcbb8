// Measures how many connections an aggregator wants and holds, by the number of leafs: the production node
// pool against fake leafs on loopback, with one listener per leaf.
#pragma once

#include <cstdint>
#include <vector>

namespace topazweir::lab::scale {

struct ConnectionOptions {
  // Numbers of leafs to measure; the fits use those from 1,000 on.
  std::vector<int> sizes{200, 400, 658, 1000, 2000, 5000};
  int largest = 9900;  // number of leafs that is compared with the prediction; 0: none
  std::vector<std::uint64_t> seeds{1, 2, 3};
  // Time runs slower than at the target by this factor: the number of outstanding parts is the same, their
  // rate is lower.
  int slowdownFactor = 20;
  double warmUpSeconds = 5;  // before counting starts
  double countedSeconds = 17;
  std::size_t streamsPerConnection = 1;  // concurrent parts on a connection
  int maxLeafsUnlimited = 1000;  // up to this number of leafs a pool without a limit is measured as well
};

// Prints a row per size and pool, and compares the fits with the largest size.
void measureConnections(const ConnectionOptions& options);

}  // namespace topazweir::lab::scale

// Connections that an aggregator wants and holds by the number of leafs: the program's own node pool before
// stand-in leafs, one listener each, on loopback.
#pragma once

#include <cstdint>
#include <vector>

namespace topazweir::lab::scale {

struct ConnectionOptions {
  std::vector<int> sizes{200, 400, 658, 1000, 2000, 5000};  // leafs, fitted from 1,000 on
  int largest = 9900;                                       // compared with the prediction; 0: none
  std::vector<std::uint64_t> seeds{1, 2, 3};
  // Time goes so many times slower than at the target: as many parts are out at once, fewer come in a second.
  int stretch = 20;
  double warmSeconds = 5, seconds = 17;  // before counting; counted
  std::size_t streams = 1;               // parts on a connection at once
  int mostUnlimited = 1000;              // leafs up to which a pool without a limit runs beside the others
};

void connectionRun(const ConnectionOptions& options);

}  // namespace topazweir::lab::scale

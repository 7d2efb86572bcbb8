// Chooses the connection to a backend for a new stream. Pure function of the connections' states.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace topazweir::calls {

// State of one connection.
struct ConnectionState {
  bool up = false;          // established; false: still connecting
  bool closing = false;     // takes no new streams: GOAWAY received or stream ids exhausted
  std::size_t streams = 0;  // open streams and those waiting for the connection to be established
  std::size_t most = 100;   // the peer's limit on concurrent streams
};

// Use the connection at position `at`, open a new one, or none is available.
struct ConnectionChoice {
  enum class Kind { use, open, none } kind = Kind::none;
  std::size_t at = 0;  // for Kind::use
};

// Prefers the established connection with the fewest streams, then the connecting one with the fewest; opens
// a new one only when all are at their stream limit. Closing connections still serve their open streams and
// do not count against `mostLinks`.
inline ConnectionChoice chooseConnection(const std::vector<ConnectionState>& links, std::size_t mostLinks) {
  std::optional<std::size_t> best;
  std::size_t usable = 0;  // connections that accept new streams, now or once established
  for (std::size_t i = 0; i < links.size(); ++i) {
    const auto& link = links[i];
    if (link.closing) continue;
    ++usable;
    if (link.streams >= link.most) continue;
    const bool better = !best || (link.up && !links[*best].up) ||
                        (link.up == links[*best].up && link.streams < links[*best].streams);
    if (better) best = i;
  }
  if (best) return {ConnectionChoice::Kind::use, *best};
  return {usable < mostLinks ? ConnectionChoice::Kind::open : ConnectionChoice::Kind::none, 0};
}

}  // namespace topazweir::calls

// Which connection of a backend a new stream takes. Pure: the connections as they stand in, the choice out.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace topazweir::calls {

struct LinkState {
  bool up = false;          // else it is coming up
  bool closing = false;     // a GOAWAY has come, or its stream numbers are used up: takes nothing new
  std::size_t streams = 0;  // open ones, and those that wait for it to come up
  std::size_t most = 100;   // that its peer allows
};

struct LinkChoice {
  enum class Kind { use, open, none } kind = Kind::none;
  std::size_t at = 0;  // use: the position
};

// The one with the fewest streams that is up; else one that is coming up; else, when all are full, a new one.
// Those that close still serve what they hold: they do not count against the limit.
inline LinkChoice chooseLink(const std::vector<LinkState>& links, std::size_t mostLinks) {
  std::optional<std::size_t> best;
  std::size_t held = 0;  // that take, or will take, streams
  for (std::size_t i = 0; i < links.size(); ++i) {
    const auto& l = links[i];
    if (l.closing) continue;
    ++held;
    if (l.streams >= l.most) continue;
    const bool better =
        !best || (l.up && !links[*best].up) || (l.up == links[*best].up && l.streams < links[*best].streams);
    if (better) best = i;
  }
  if (best) return {LinkChoice::Kind::use, *best};
  return {held < mostLinks ? LinkChoice::Kind::open : LinkChoice::Kind::none, 0};
}

}  // namespace topazweir::calls

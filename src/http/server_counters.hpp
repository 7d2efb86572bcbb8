// Counters of one HTTP server: what it did with its connections and with requests that it could not hand to
// its front.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace topazweir::http {

struct ServerCounters {
  std::uint64_t accepted = 0;     // connections
  std::uint64_t requests = 0;     // that arrived in full and were handed to the front
  std::uint64_t clientsLeft = 0;  // connections that ended with an open exchange
  std::uint64_t idleClosed = 0;   // connections closed at the connection limit because they were idle
  // Requests refused before they had arrived in full, to make room for connections or for buffers.
  std::uint64_t unfinishedShed = 0;
  std::uint64_t refusedAhead = 0;   // requests refused because their client sent too far ahead
  std::uint64_t stalledClosed = 0;  // connections closed because their clients did not read their answers
  // Requests rejected before they reached the front, by status; bounded by the statuses of the parser and the
  // server.
  std::map<int, std::uint64_t> rejected;
};

// One "name value" pair per line, each name preceded by `prefix`.
std::string print(const ServerCounters& counters, const std::string& prefix);

}  // namespace topazweir::http

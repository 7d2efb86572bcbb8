// The reasons for which a connection ends, and their mapping to the outcome of an attempt.
#pragma once

#include "topazweir/aggregator.hpp"

namespace topazweir::net {

enum class ConnectionEnd {
  refused,         // the peer's host refused the connection
  unreachable,     // no route to the peer, or out of descriptors
  connectTimeout,  // the connection was not established in time
  peerClosed,      // the peer closed it in an orderly way
  reset,           // the peer or its host reset it
  writeFailed,     // a write failed
  protocolError,   // the peer violated the protocol; closed locally
  beside,  // as protocolError, but the fault is in another attempt's answer, not in this one or the server
  silent,  // the peer was unresponsive for far longer than answers take; closed locally
  peerReportedError,  // the peer reported a protocol violation by this side and closed
  replaced,           // the peer's process has been restarted since; closed locally
  closedLocally       // closed locally, no longer needed
};

// The name that is logged.
constexpr const char* nameOf(ConnectionEnd end) {
  constexpr const char* kNames[] = {"refused", "unreachable",  "connect_timeout", "peer_closed",
                                    "reset",   "write_failed", "bad_peer",        "beside",
                                    "silent",  "peer_fault",   "replaced",        "closed_here"};
  return kNames[static_cast<int>(end)];
}

// The outcome of an attempt whose connection ended. `written`: the last byte of its request had been written;
// before that the peer cannot have executed it.
constexpr Outcome outcomeOf(ConnectionEnd end, bool written) {
  switch (end) {
    case ConnectionEnd::refused:
    case ConnectionEnd::unreachable:
    case ConnectionEnd::connectTimeout:
      return Outcome::connectFailed;
    case ConnectionEnd::peerClosed:
    case ConnectionEnd::reset:
    case ConnectionEnd::writeFailed:
    case ConnectionEnd::peerReportedError:
      return written ? Outcome::reset : Outcome::connectFailed;
    case ConnectionEnd::replaced:  // the new process is not at fault
      return written ? Outcome::reset : Outcome::notSent;
    case ConnectionEnd::protocolError:  // the peer runs and may have executed it; reset would mean that it
                                        // died
      return written ? Outcome::error : Outcome::notSent;
    case ConnectionEnd::silent:
      return written ? Outcome::timedOut : Outcome::notSent;
    case ConnectionEnd::beside:
    case ConnectionEnd::closedLocally:
      return written ? Outcome::cancelled : Outcome::notSent;
  }
  return Outcome::reset;
}

}  // namespace topazweir::net

// Every way in which a connection can end, and the one place that says what it means for an attempt.
#pragma once

#include "topazweir/aggregator.hpp"

namespace topazweir::net {

enum class ConnectionEnd {
  refused,         // nobody listens there
  unreachable,     // no way there, or no descriptor left for it
  connectTimeout,  // it did not come up in time
  peerClosed,      // the peer ended it in order
  reset,           // the peer, or its machine, broke it
  writeFailed,     // it broke while something was being written
  badPeer,         // the peer answered with what cannot be understood: closed from here
  beside,          // the same, but it was another attempt's answer: no fault of this one, nor of the server
  silent,          // nothing came on it for far longer than answers take: closed from here
  peerFault,       // the peer says that it could not understand us, and closes
  replaced,        // the process behind it has been restarted since: closed from here
  closedHere       // no longer needed
};

constexpr const char* nameOf(ConnectionEnd end) {
  constexpr const char* kNames[] = {"refused", "unreachable",  "connect_timeout", "peer_closed",
                                    "reset",   "write_failed", "bad_peer",        "beside",
                                    "silent",  "peer_fault",   "replaced",        "closed_here"};
  return kNames[static_cast<int>(end)];
}

// What it means for an attempt on that connection. `written`: the last byte of its request had been written;
// until then the peer cannot have run it.
constexpr Outcome outcomeOf(ConnectionEnd end, bool written) {
  switch (end) {
    case ConnectionEnd::refused:
    case ConnectionEnd::unreachable:
    case ConnectionEnd::connectTimeout:
      return Outcome::connectFailed;
    case ConnectionEnd::peerClosed:
    case ConnectionEnd::reset:
    case ConnectionEnd::writeFailed:
    case ConnectionEnd::peerFault:
      return written ? Outcome::reset : Outcome::connectFailed;
    case ConnectionEnd::replaced:  // the new process is not to blame for it
      return written ? Outcome::reset : Outcome::notSent;
    case ConnectionEnd::badPeer:  // it runs, and may have run this; a reset would say that it has died
      return written ? Outcome::error : Outcome::notSent;
    case ConnectionEnd::silent:
      return written ? Outcome::timedOut : Outcome::notSent;
    case ConnectionEnd::beside:
    case ConnectionEnd::closedHere:
      return written ? Outcome::cancelled : Outcome::notSent;
  }
  return Outcome::reset;
}

}  // namespace topazweir::net

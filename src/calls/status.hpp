// Every way in which a call can end, each mapped once: to the client's status, to the core's verdict and to
// the decision module's outcome.
//
// Sources: gRPC, "Status codes and their use in gRPC" (statuscodes.md); "gRPC over HTTP2"
// (PROTOCOL-HTTP2.md), section "Errors", for RST_STREAM codes; "HTTP to gRPC Status Code Mapping"
// (http-grpc-status-mapping.md); RFC 9113 section 8.7 for what is known not to have run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::calls {

enum class Code : std::uint8_t {
  ok,
  cancelled,
  unknown,
  invalidArgument,
  deadlineExceeded,
  notFound,
  alreadyExists,
  permissionDenied,
  resourceExhausted,
  failedPrecondition,
  aborted,
  outOfRange,
  unimplemented,
  internal,
  unavailable,
  dataLoss,
  unauthenticated
};
inline constexpr int kCodes = 17;

// "UNAVAILABLE"
std::string_view nameOf(Code code);
std::optional<Code> codeNamed(std::string_view name);
// The value of a grpc-status field; a number that is none of the codes counts as UNKNOWN, as clients take it;
// what is no number at all gives none.
std::optional<Code> readCode(std::string_view digits);

// What a call has come to, as the operators count it.
enum class Class : std::uint8_t { answered, refused, failed };

struct Meaning {
  Class counted;    // how a call that ends so is counted
  Outcome outcome;  // what the module is told of an attempt that ends so and is not passed on
};
// For a status that a backend gave itself, with its trailers whole.
Meaning meaningOf(Code code);

// An HTTP response without grpc-status: some proxy's, or no gRPC server.
Code codeOfHttp(int status);

// How an attempt's stream came to its end.
enum class Ending : std::uint8_t {
  trailers,     // in order, with a grpc-status
  noStatus,     // END_STREAM, but no grpc-status: cut before its trailers
  badResponse,  // what came is no gRPC response
  resetByPeer,  // RST_STREAM, with an HTTP/2 error code
  aboveGoaway,  // a GOAWAY named a lower last stream: RFC 9113 section 6.8 says that it has not run
  lostBefore,   // the connection ended before the request was written whole, or never came up
  lostAfter,    // the connection ended after that
  silent,       // nothing came in the attempt's time
  noStream,     // no connection or stream could be had for it: nothing was sent
  tooLarge      // a message, or a head, over the limit
};

struct Ended {
  Ending ending = Ending::trailers;
  std::uint32_t http2 = 0;       // resetByPeer: the error code
  std::optional<Code> status{};  // trailers: the status
  std::optional<int> http{};     // badResponse: the HTTP status, where it is the reason
  bool operator==(const Ended&) const = default;
};

struct Verdict {
  Code code = Code::unknown;         // what the client is told if this is the end of its call
  std::string_view words;            // beside the code, where no backend gave any
  Outcome outcome = Outcome::error;  // for the module
  bool ran = true;                   // it may have run: only what cannot have makes an unsafe call repeatable
};
Verdict verdictOf(const Ended& ended);

}  // namespace topazweir::calls

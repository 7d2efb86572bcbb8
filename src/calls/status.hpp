// Maps every way in which an attempt or a call can end to the client's status, to how the call is counted and
// to the decision module's outcome. This is the only place with such a mapping.
//
// Sources: gRPC, "Status codes and their use in gRPC" (statuscodes.md); "gRPC over HTTP2"
// (PROTOCOL-HTTP2.md), section "Errors", for RST_STREAM error codes; "HTTP to gRPC Status Code Mapping"
// (http-grpc-status-mapping.md); RFC 9113 section 8.7 for calls known not to have run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::calls {

// gRPC status codes, with their numeric values.
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
inline constexpr int kStatusCodeCount = 17;

// The name as in the gRPC specification, such as "UNAVAILABLE".
std::string_view nameOf(Code code);
// The inverse of nameOf(); nullopt for an unknown name.
std::optional<Code> parseStatusName(std::string_view name);
// Parses the value of a grpc-status field. A number that is no known code gives UNKNOWN, as in gRPC clients;
// nullopt if it is not a number.
std::optional<Code> parseStatusCode(std::string_view digits);

// How a call has ended, as counted in the metrics.
enum class CallResult : std::uint8_t { answered, refused, failed };

// Interpretation of a status code.
struct Meaning {
  CallResult counted;  // how a call that ends with it is counted
  Outcome outcome;     // reported to the decision module for an attempt that ends with it
};
// For a status that the backend sent itself in complete trailers.
Meaning interpretStatus(Code code);

// The status for an HTTP response without grpc-status, sent by a proxy or a server that does not speak gRPC.
Code codeFromHttpStatus(int status);

// How an attempt's stream ended.
enum class Ending : std::uint8_t {
  trailers,        // regular end with a grpc-status
  noStatus,        // END_STREAM without grpc-status: truncated before its trailers
  badResponse,     // not a gRPC response
  resetByPeer,     // RST_STREAM, with an HTTP/2 error code
  aboveGoaway,     // GOAWAY with a lower last stream id: did not run (RFC 9113 section 6.8)
  lostBeforeSend,  // the connection failed, or ended before the request was completely written
  lostAfterSend,   // the connection ended after the request was completely written
  silent,          // no answer within the attempt's time-out
  noStream,        // no connection or stream was available: nothing was sent
  expired,         // the latest time to send it had passed while it waited: nothing was sent
  tooLarge         // a message or the header fields exceed their limit
};

// The end of an attempt's stream.
struct Ended {
  Ending ending = Ending::trailers;
  std::uint32_t http2 = 0;       // resetByPeer: the error code
  std::optional<Code> status{};  // trailers: the gRPC status
  std::optional<int> http{};     // badResponse: the HTTP status, if that is the reason
  bool operator==(const Ended&) const = default;
};

// What the end of an attempt means for its call.
struct Verdict {
  Code code = Code::unknown;         // the client's status if the call ends with this attempt
  std::string_view words;            // message for the client if the backend sent none
  Outcome outcome = Outcome::error;  // reported to the decision module
  bool ran = true;                   // may have run; an unsafe call may be retried only if false
};
Verdict verdictOf(const Ended& ended);

}  // namespace topazweir::calls

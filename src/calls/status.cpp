#include "calls/status.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace topazweir::calls {

namespace {

struct Row {
  std::string_view name;
  Meaning meaning;
};

// Indexed by Code. answered: the service gave a definite result, even if it is "not found". refused: it shed
// the call and expects a retry. failed: the service or the connection to it failed.
constexpr std::array<Row, kStatusCodeCount> kRows = {{
    {"OK", {CallResult::answered, Outcome::delivered}},
    {"CANCELLED", {CallResult::failed, Outcome::error}},
    {"UNKNOWN", {CallResult::failed, Outcome::error}},
    {"INVALID_ARGUMENT", {CallResult::answered, Outcome::delivered}},
    {"DEADLINE_EXCEEDED", {CallResult::failed, Outcome::timedOut}},
    {"NOT_FOUND", {CallResult::answered, Outcome::delivered}},
    {"ALREADY_EXISTS", {CallResult::answered, Outcome::delivered}},
    {"PERMISSION_DENIED", {CallResult::answered, Outcome::delivered}},
    // Like UNAVAILABLE below, servers send this when overloaded but also after they have begun to process the
    // call, so it does not prove that the call did not run.
    {"RESOURCE_EXHAUSTED", {CallResult::refused, Outcome::error}},
    {"FAILED_PRECONDITION", {CallResult::answered, Outcome::delivered}},
    {"ABORTED", {CallResult::answered, Outcome::delivered}},
    {"OUT_OF_RANGE", {CallResult::answered, Outcome::delivered}},
    {"UNIMPLEMENTED", {CallResult::answered, Outcome::delivered}},
    {"INTERNAL", {CallResult::failed, Outcome::error}},
    {"UNAVAILABLE", {CallResult::refused, Outcome::error}},
    {"DATA_LOSS", {CallResult::failed, Outcome::error}},
    {"UNAUTHENTICATED", {CallResult::answered, Outcome::delivered}},
}};

// RFC 9113 section 7, in the order of its codes; the gRPC codes are those of PROTOCOL-HTTP2.md,
// "Errors". Codes that it does not map (STREAM_CLOSED, HTTP_1_1_REQUIRED) become UNKNOWN, like unassigned
// codes.
constexpr std::array<Code, 14> kCodeOfHttp2Error = {
    Code::internal,           // NO_ERROR
    Code::internal,           // PROTOCOL_ERROR
    Code::internal,           // INTERNAL_ERROR
    Code::internal,           // FLOW_CONTROL_ERROR
    Code::internal,           // SETTINGS_TIMEOUT
    Code::unknown,            // STREAM_CLOSED
    Code::internal,           // FRAME_SIZE_ERROR
    Code::unavailable,        // REFUSED_STREAM
    Code::cancelled,          // CANCEL
    Code::internal,           // COMPRESSION_ERROR
    Code::internal,           // CONNECT_ERROR
    Code::resourceExhausted,  // ENHANCE_YOUR_CALM
    Code::permissionDenied,   // INADEQUATE_SECURITY
    Code::unknown,            // HTTP_1_1_REQUIRED
};
constexpr std::uint32_t kRefusedStream = 7;

}  // namespace

std::string_view nameOf(Code code) { return kRows[static_cast<std::size_t>(code)].name; }

std::optional<Code> parseStatusName(std::string_view name) {
  const auto at = std::find_if(kRows.begin(), kRows.end(), [&](const Row& r) { return r.name == name; });
  if (at == kRows.end()) return std::nullopt;
  return static_cast<Code>(at - kRows.begin());
}

std::optional<Code> parseStatusCode(std::string_view digits) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (digits.empty() || end != digits.data() + digits.size() || error != std::errc{}) return std::nullopt;
  return value < kStatusCodeCount ? static_cast<Code>(value) : Code::unknown;
}

Meaning interpretStatus(Code code) { return kRows[static_cast<std::size_t>(code)].meaning; }

Code codeFromHttpStatus(int status) {
  switch (status) {
    case 400:
      return Code::internal;
    case 401:
      return Code::unauthenticated;
    case 403:
      return Code::permissionDenied;
    case 404:
      return Code::unimplemented;
    case 429:
    case 502:
    case 503:
    case 504:
      return Code::unavailable;
    default:
      return Code::unknown;
  }
}

Verdict verdictOf(const Ended& e) {
  switch (e.ending) {
    case Ending::trailers: {
      const Code code = e.status.value_or(Code::unknown);
      return {code, "", interpretStatus(code).outcome, true};
    }
    case Ending::noStatus:
      return {Code::internal, "the stream ended before its trailers", Outcome::error, true};
    case Ending::badResponse:
      return {e.http ? codeFromHttpStatus(*e.http) : Code::internal, "the backend's response is not gRPC",
              Outcome::error, true};
    case Ending::resetByPeer: {
      const bool refused = e.http2 == kRefusedStream;  // RFC 9113 section 8.7: not processed
      const Code code = e.http2 < kCodeOfHttp2Error.size() ? kCodeOfHttp2Error[e.http2] : Code::unknown;
      return {code, "the backend reset the stream", refused ? Outcome::rejected : Outcome::error, !refused};
    }
    case Ending::aboveGoaway:  // a graceful shutdown: rejected, not a failure
      return {Code::unavailable, "the backend is going away", Outcome::rejected, false};
    case Ending::lostBeforeSend:
      return {Code::unavailable, "no connection to the backend", Outcome::connectFailed, false};
    case Ending::lostAfterSend:
      return {Code::unavailable, "the connection to the backend broke", Outcome::reset, true};
    case Ending::silent:
      return {Code::unavailable, "the backend did not answer in the attempt's time", Outcome::timedOut, true};
    case Ending::noStream:
      return {Code::unavailable, "no stream to the backend is free", Outcome::notSent, false};
    case Ending::expired:
      return {Code::unavailable, "the time to send the attempt has run out", Outcome::notSent, false};
    case Ending::tooLarge:
      return {Code::resourceExhausted, "larger than the limit", Outcome::error, true};
  }
  return {};
}

}  // namespace topazweir::calls

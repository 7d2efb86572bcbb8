// What may pass through of a call's fields, and what is wrong with a request. Fields are passed as they came:
// binary ones (`-bin`), repeated ones and their order included.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "calls/status.hpp"

namespace topazweir::calls {

struct Field {
  std::string name, value;  // names in lower case, as HTTP/2 has them
  bool operator==(const Field&) const = default;
};
using Fields = std::vector<Field>;

// The first value under a name; none: absent.
std::optional<std::string_view> find(const Fields& fields, std::string_view name);

// Whether the content type is gRPC's: "application/grpc", with a "+format" or parameters behind it.
bool isGrpc(const Fields& head);

struct Path {
  std::string_view service, method;
};
// "/package.Service/Method"; none: malformed.
std::optional<Path> readPath(std::string_view path);

struct Refusal {
  int http = 200;  // below 400: trailers-only with `code`
  Code code = Code::internal;
  std::string_view words;
};
// What is wrong with a request's head, if anything: PROTOCOL-HTTP2.md, "Requests". A content type that is not
// gRPC's gets 415, as that page asks; all else a status.
std::optional<Refusal> faultOf(const Fields& request);

// What goes to the backend: everything but hop-by-hop fields and those that this hop writes itself.
// `attempt`: from 0. `left`: time, in nanoseconds.
Fields toBackend(const Fields& request, std::string_view authority, int attempt, Nanos left);
// What goes back to the client of a head or of trailers.
Fields toClient(const Fields& response);

// grpc-message: PROTOCOL-HTTP2.md, "Responses": percent-encoded UTF-8.
std::string encodeMessage(std::string_view words);

// grpc-retry-pushback-ms (gRFC A6): absent, wait this long, or (negative or unreadable) do not try again.
struct Pushback {
  bool given = false, stop = false;
  Nanos wait = 0;
};
Pushback readPushback(const Fields& trailers);
Field writePushback(Nanos wait);

// A final status of our own, as trailers: grpc-status, grpc-message, and when to come back.
Fields writeStatus(Code code, std::string_view words, std::optional<Nanos> comeBack);

}  // namespace topazweir::calls

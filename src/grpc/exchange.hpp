// One call between the two wires: what the front and the backend share of it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "broker/ports.hpp"
#include "calls/call.hpp"
#include "config/grpc_config.hpp"
#include "http2/session.hpp"

namespace topazweir::grpc {

struct Exchange;
class Core;

// The client's side of a call, for the backend to act on.
class Downstream {
 public:
  virtual ~Downstream() = default;
  virtual void requestTaken(Exchange& exchange, std::size_t bytes) = 0;  // the client may send so many more
  virtual void responseHead(Exchange& exchange) = 0;  // `head` is there: the call is committed
  virtual void responseMore(Exchange& exchange) = 0;  // there is more of `response`
};

// The attempts of a call, for the front to act on.
class Upstream {
 public:
  virtual ~Upstream() = default;
  virtual void requestMore(Exchange& exchange) = 0;                       // the request has grown, or ended
  virtual void responseTaken(Exchange& exchange, std::size_t bytes) = 0;  // the backend may send so many more
  // The call is kept for the newest attempt that is on its way, since its request is too long or too slow for
  // another one: now, or as soon as there is such an attempt.
  virtual void keep(Exchange& exchange) = 0;
};

struct Exchange {
  Exchange(const calls::Policy& policy, calls::Pressure& pressure)
      : call(policy, pressure), response(pressure) {}

  std::string id;                            // follows the call through every line of the log
  const config::GrpcRoute* route = nullptr;  // held by `plan`
  std::shared_ptr<const void> plan;          // the configuration that the call was taken under
  broker::RequestNo no = 0;
  Nanos due = 0, takenAt = 0;
  calls::Fields head;  // of the request

  calls::Call call;
  calls::Body response;
  std::uint64_t responseTaken = 0;  // offset behind what has gone to the client
  calls::Meter meter;               // of the response
  calls::Fields responseHead;
  std::optional<calls::Fields> trailers;  // the final status, once the core has booked the end
  std::optional<calls::Final> verdict;    // the front's own, which outranks what attempts have told
  bool headSent = false;
  bool slow = false;  // its request has stayed open for `openAfter`

  Core* core = nullptr;               // that it was taken by, which lasts until it ends; none: a health check
  Downstream* client = nullptr;       // none: it has left
  Upstream* upstream = nullptr;       // none: a health check
  http2::Session* session = nullptr;  // the client's
  http2::StreamId stream = 0;
  int attempts = 0;
  std::string lastBackend, lastWhy;  // for the log
};

// The calls that are open, by the number the core knows them by.
using Exchanges = std::unordered_map<broker::RequestNo, std::shared_ptr<Exchange>>;

}  // namespace topazweir::grpc

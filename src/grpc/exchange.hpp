// One gRPC call as it passes through the broker: the state that the front (client side) and the backend
// (server side) share.
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

// The client's side of a call, as the backend uses it.
class Downstream {
 public:
  virtual ~Downstream() = default;
  // The client may send `bytes` more of the request.
  virtual void acknowledgeRequest(Exchange& exchange, std::size_t bytes) = 0;
  // `responseHead` has been received: the call is committed to an attempt.
  virtual void onResponseHead(Exchange& exchange) = 0;
  // `response` has grown.
  virtual void onResponseData(Exchange& exchange) = 0;
};

// The attempts of a call, as the front uses them.
class Upstream {
 public:
  virtual ~Upstream() = default;
  // The request has grown, or ended.
  virtual void onRequestData(Exchange& exchange) = 0;
  // The backend may send `bytes` more of the response.
  virtual void acknowledgeResponse(Exchange& exchange, std::size_t bytes) = 0;
  // Commits the call to its newest attempt whose connection is established, because the request is too long
  // or has been open for too long to be sent again. Without such an attempt, as soon as there is one.
  virtual void commitToNewest(Exchange& exchange) = 0;
};

struct Exchange {
  Exchange(const calls::CallPolicy& policy, memory::Budget& budget)
      : call(policy, budget), response(budget), charge(&budget) {}

  // What its request takes: header fields, state and the bytes that are kept.
  std::size_t requestBytes() const { return charge.bytes() + call.request().kept(); }

  std::string id;                            // unique among the open calls; in every log line of the call
  const config::GrpcRoute* route = nullptr;  // owned by `plan`; null: a health check
  std::shared_ptr<const void> plan;          // the configuration that was in use when the call was accepted
  broker::RequestNo requestNo = 0;           // the core's number for the call
  Nanos deadline = 0;                        // time of the loop
  Nanos acceptedAt = 0;                      // time of the loop
  calls::Fields head;                        // of the request

  calls::Call call;
  calls::Body response;
  memory::Charge charge;                 // for the header fields and the state of the call
  std::uint64_t responseSentOffset = 0;  // end of what has been passed on to the client
  calls::MessageMeter meter;             // of the response's messages
  calls::Fields responseHead;
  std::optional<calls::Fields> trailers;  // with the final status, once the core has finished the call
  std::optional<calls::CallStatus>
      frontFinal;         // set by the front; takes precedence over the attempts' results
  bool headSent = false;  // to the client
  bool longOpen = false;  // its request has stayed open for longer than `streamingAfter`

  Core* core = nullptr;               // outlives the call; null: a health check
  Downstream* downstream = nullptr;   // null: the client has left
  Upstream* upstream = nullptr;       // null: a health check
  http2::Session* session = nullptr;  // the client's; null: the client has left
  http2::StreamId stream = 0;         // the client's
  int attempts = 0;                   // made so far
  std::string lastBackend;            // address of the newest attempt's server, for the log
  std::string lastError;              // of the last attempt that failed, for the log
};

// The open calls, by the core's number for them.
using Exchanges = std::unordered_map<broker::RequestNo, std::shared_ptr<Exchange>>;

}  // namespace topazweir::grpc

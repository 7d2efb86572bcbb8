// Configuration of the gRPC front: the block `grpc` of the operator file.
#pragma once

#include "calls/call.hpp"
#include "calls/routes.hpp"
#include "config/features_config.hpp"

namespace topazweir::config {

struct GrpcBackend {
  std::string address;  // address:port
  std::string zone;
  ServerState state = ServerState::up;
  std::vector<int> shards;  // shards of its pool that it holds
};

struct GrpcPool {
  std::string name;
  int shards = 1;
  std::string shardBy;          // metadata key whose value is hashed to choose the shard; empty: one shard
  std::size_t connections = 2;  // limit per backend
  std::size_t streams = 100;    // limit per connection; the backend's own limit may be lower
  std::size_t queue = 100;      // limit on calls that wait for a stream to one backend
  std::vector<GrpcBackend> backends;
  broker::Terms terms;  // of the pool's broker, with one class for each route to this pool
};

struct GrpcRoute {
  std::string name;
  calls::RouteMatch match;
  std::size_t pool = 0;  // index in Grpc::pools
  int queryClass = 0;    // index among the classes of its pool
  QueryClass limits;     // the route's class: aim, deadline, effect, attempts
  calls::CallPolicy policy;
};

// The gRPC front's settings. Durations are nanoseconds.
struct GrpcConfig {
  std::string listen;           // address:port
  std::size_t connections = 0;  // limit on client connections
  std::size_t streams = 0;      // limit on open streams per client connection
  std::size_t headBytes = 0;    // limit on a call's header list
  std::size_t bufferBytes = 0;  // limit on the bytes buffered for all calls, each way
  int window = 0;               // flow-control window of a stream, in bytes
  Nanos connectTimeout = 0;
  Nanos idle = 0;       // idle timeout of connections to backends
  Nanos drain = 0;      // time after which calls still open at a shutdown are cancelled
  Nanos keepalive = 0;  // interval between keep-alive pings
  // A call whose request stays open longer than this is treated as a stream: it has no idle timeout of its
  // backend and is not retried.
  Nanos streamingAfter = 0;
  bool logCalls = false;  // log every call
  std::vector<GrpcPool> pools;
  std::vector<GrpcRoute> routes;
};

// Reads the block `grpc`. Decision settings and the seed are taken from `platform`. Throws ConfigError.
GrpcConfig readGrpc(const Reader& block, const PlatformConfig& platform);

}  // namespace topazweir::config

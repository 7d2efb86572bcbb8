// The block that switches the gRPC front on: read, checked and given defaults here.
#pragma once

#include "calls/call.hpp"
#include "calls/routes.hpp"
#include "config/features_config.hpp"

namespace topazweir::config {

struct GrpcBackend {
  std::string address;  // address:port
  std::string zone;
  ServerState state = ServerState::up;
  std::vector<int> shards;  // of its pool
};

struct GrpcPool {
  std::string name;
  int shards = 1;
  std::string shardBy;          // the metadata key whose value is hashed; empty: one shard
  std::size_t connections = 2;  // to one backend, at most
  std::size_t streams = 100;    // on one of them, if the backend allows as many
  std::size_t queue = 100;      // calls that may wait for a stream to one backend
  std::vector<GrpcBackend> backends;
  broker::Terms terms;  // of the pool's core: a class for each route that leads here
};

struct GrpcRoute {
  std::string name;
  calls::Match match;
  std::size_t pool = 0;
  int queryClass = 0;  // among those of the pool
  QueryClass limits;   // aim, deadline, effect, attempts: the route's class in the core
  calls::Policy policy;
};

struct Grpc {
  std::string listen;
  std::size_t connections = 0;  // of clients
  std::size_t streams = 0;      // that a client may have open on one
  std::size_t headBytes = 0;
  std::size_t bufferBytes = 0;  // of all calls together, each way
  int window = 0;               // bytes of a stream that may come unread
  Nanos connectTimeout = 0, idle = 0, drain = 0, keepalive = 0, openAfter = 0;
  bool logCalls = false;
  std::vector<GrpcPool> pools;
  std::vector<GrpcRoute> routes;
};

// `platform`: whose rules and seed are kept. Throws ConfigError.
Grpc readGrpc(const Reader& block, const Config& platform);

}  // namespace topazweir::config

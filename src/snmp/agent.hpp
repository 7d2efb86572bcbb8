// A read-only SNMP agent (v2c) that serves TOPAZWEIR-MIB with net-snmp's library on the program's event loop.
// The library keeps its state in global variables, so a process can have only one agent.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <optional>

#include "broker/log.hpp"
#include "config/snmp_config.hpp"
#include "net/loop.hpp"
#include "snmp/snapshot.hpp"

namespace topazweir::snmp {

class Agent {
 public:
  // Called for each readable event, so that requests are answered with current values.
  using SnapshotSource = std::function<Snapshot()>;
  // Starts to answer requests. Throws ConfigError if it cannot listen on the configured address.
  Agent(net::Loop& loop, broker::Log& log, const config::SnmpConfig& config, SnapshotSource snapshotSource);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // For the library's callback.
  const Snapshot& snapshot() const { return snapshot_; }

 private:
  void onReadable(Poco::Net::ReadableNotification* event);
  void watchSocket(bool on);

  net::Loop& loop_;
  broker::Log& log_;
  SnapshotSource snapshotSource_;
  Snapshot snapshot_;
  std::optional<Poco::Net::Socket> socket_;
};

}  // namespace topazweir::snmp

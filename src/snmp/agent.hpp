// A read-only SNMP agent on net-snmp's library, on the program's own loop. The library keeps its state in
// globals of its own: there can be one agent in a process.
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
  using Take = std::function<Snapshot()>;
  // Throws ConfigError when the address can't be listened on.
  Agent(net::Loop& loop, broker::Log& log, const config::SnmpConfig& config, Take take);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // For the library's callback.
  const Snapshot& snapshot() const { return snapshot_; }

 private:
  void onReadable(Poco::Net::ReadableNotification* event);
  void watch(bool on);

  net::Loop& loop_;
  broker::Log& log_;
  Take take_;
  Snapshot snapshot_;
  std::optional<Poco::Net::Socket> socket_;
};

}  // namespace topazweir::snmp

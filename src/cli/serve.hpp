// `topazweir run`: wires the parts of the program together, rereads the configuration and shuts down
// gracefully. The decisions are made in the parts.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cli/options.hpp"
#include "config/operator_config.hpp"
#include "features/features_service.hpp"
#include "fleet/fleet_service.hpp"
#include "grpc/grpc_service.hpp"
#include "memory/resident_limit.hpp"
#include "net/loop.hpp"
#include "ops/operator_service.hpp"
#include "platform/platform_service.hpp"
#include "snmp/agent.hpp"

namespace topazweir::cli {

// Reads the platform's configuration from the file of --config or else of NODE_CONFIG; none if neither is
// given, which leaves the platform's part off. NODE_LISTEN, NODE_OPS and NODE_SOCKET_FD override the file's
// values. Throws ConfigError.
std::optional<config::PlatformConfig> readPlatform(const Options& options);
// Reads the operator file and the files of single fronts. Throws ConfigError.
config::OperatorConfig readOperatorFiles(const Options& options, const config::PlatformConfig& platform);

// All parts of a running aggregator. Parts that are not configured are absent.
class Program : private ops::Host, private fleet::Host {
 public:
  // Reads the configuration and starts all parts. Throws ConfigError.
  Program(net::Loop& loop, const Options& options);

  // Starts a graceful shutdown, as SIGTERM does: the loop stops once all accepted requests are answered.
  void drain();
  // All counters as lines "name value".
  std::string counters();

 private:
  void reload();
  void reloadPlatform();
  void reloadOperatorFiles();
  void pollSignals();
  void applyMemoryLimits();
  // Checked regularly: gives free memory back, and lowers the limit of the buffers near the process's own.
  void watchMemory();
  // By when every open request of every front has its final answer. Only with the platform's part.
  void setShutdownDeadline(Nanos at);
  // Closes the listeners of all fronts. `rejectUnfinished`: requests that have not arrived in full are
  // rejected.
  void stopAccepting(bool rejectUnfinished);
  // Every accepted request is answered, and its client has read the answer.
  bool quiet() const;
  std::size_t clientConnections() const;
  void finishShutdown();
  void startPlatform();
  void startMembership();
  void closeClientConnections();

  // ops::Host
  bool listed(std::string_view instance) const override;
  void moved(const std::vector<std::string>& leafs) override;
  void recordSendByOtherProcess(const operation::ColdSends::Send& send) override;
  void clientsChanged() override;
  void share(bool shared) override { platform_->share(shared); }
  operation::Readiness prepare(bool follows) override;
  void serve() override { platform_->front().server().startAccepting(); }
  std::string list() const override { return platform_->list(); }
  std::optional<std::string> answer(std::string_view line) const override;
  // fleet::Host
  membership::LoadMeter::Totals load() const override;
  void shares(const membership::Share& share) override;
  bool accompanied() const override { return ops_ && ops_->follows(); }

  Options options_;
  net::Loop& loop_;
  std::optional<config::PlatformConfig> platformConfig_;
  config::PlatformConfig base_;  // the platform's configuration, or config::standalone() without one
  config::OperatorConfig operator_;
  telemetry::LogWriter writer_;
  broker::Log log_;
  std::optional<ops::OperatorService> ops_;  // present exactly if platform_ is
  std::optional<platform::PlatformService> platform_;
  std::optional<features::FeaturesService> features_;
  std::optional<grpc::GrpcService> grpc_;
  std::optional<fleet::FleetService> fleet_;
  std::optional<snmp::Agent> snmp_;
  bool shuttingDown_ = false;
  Nanos answeredBy_ = 0;  // when shutting down: the time by which all open requests have their final answer
  net::Loop::TimerId closeConnectionsTimer_{};
  memory::ResidentLimit residentLimit_;
};

// Serves until SIGTERM or SIGINT. Returns the exit code; throws ConfigError.
int run(const Options& options);

}  // namespace topazweir::cli

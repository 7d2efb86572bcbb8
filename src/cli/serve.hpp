// `topazweir run`: wires the parts together and runs the loop; decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cli/options.hpp"
#include "config/operator_config.hpp"
#include "features/side.hpp"
#include "grpc/side.hpp"
#include "net/loop.hpp"
#include "platform/side.hpp"
#include "snmp/agent.hpp"

namespace topazweir::cli {

// The platform's configuration, and where it says so the address of NODE_LISTEN; without a file
// NODE_CONFIG's; none: there is no such part.
std::optional<config::Config> readPlatform(const Options& options);
// What the operator file (and the files of single fronts) say, on top of the platform's part or without one.
config::Operator readOperatorFiles(const Options& options, const config::Config& platform);

class Program {
 public:
  // Throws ConfigError.
  Program(net::Loop& loop, const Options& options);

  void drain();  // as SIGTERM does: the loop ends once all that was taken has its answer
  std::string counters();

 private:
  void reread();
  void rereadPlatform();
  void rereadOperator();
  void watchSignals();
  void finish();

  Options options_;
  net::Loop& loop_;
  std::optional<config::Config> platformConfig_;
  config::Config base_;  // the platform's, or what stands for it
  config::Operator operator_;
  telemetry::LogWriter writer_;
  broker::Log log_;
  std::optional<platform::Side> platform_;
  std::optional<features::Side> features_;
  std::optional<grpc::Side> grpc_;
  std::optional<snmp::Agent> snmp_;
  bool ending_ = false;
};

int run(const Options& options);

}  // namespace topazweir::cli

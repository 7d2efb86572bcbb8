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

// The platform's configuration, and where it says so the address of NODE_LISTEN. `path` empty: NODE_CONFIG's; none:
// there is no such part.
std::optional<config::Config> readPlatform(const std::string& path);
// What the operator file (and the files of single fronts) say, on top of the platform's part or without one.
config::Operator readOperatorFiles(const Options& options, const config::Config& platform);

class Program {
 public:
  // Throws ConfigError.
  explicit Program(const Options& options);

  void run() { loop_.run(); }
  net::Loop& loop() { return loop_; }
  features::Side* features() { return features_ ? &*features_ : nullptr; }
  grpc::Side* grpc() { return grpc_ ? &*grpc_ : nullptr; }
  std::string counters();

 private:
  void reread();
  void rereadPlatform();
  void rereadOperator();
  void watchSignals();
  void drain();
  void finish();

  Options options_;
  net::Loop loop_;
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

// The signals that the program handles are blocked and asked for: nothing runs in a signal's context. To be called
// before any thread is started.
void blockSignals();

int run(const Options& options);

}  // namespace topazweir::cli

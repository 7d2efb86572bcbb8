// `topazweir run`: wires the parts together and runs the loop; decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cli/options.hpp"
#include "config/operator_config.hpp"
#include "features/side.hpp"
#include "fleet/side.hpp"
#include "grpc/side.hpp"
#include "net/loop.hpp"
#include "ops/side.hpp"
#include "platform/side.hpp"
#include "snmp/agent.hpp"

namespace topazweir::cli {

// The platform's configuration, without a file NODE_CONFIG's; none: there is no such part. What NODE_LISTEN,
// NODE_OPS and NODE_SOCKET_FD say outranks it.
std::optional<config::Config> readPlatform(const Options& options);
// What the operator file (and the files of single fronts) say, on top of the platform's part or without one.
config::Operator readOperatorFiles(const Options& options, const config::Config& platform);

class Program : private ops::Host, private fleet::Host {
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
  void startPlatform();
  void sendAway();

  bool listed(std::string_view instance) const override;
  void moved(const std::vector<std::string>& leafs) override;
  void sentElsewhere(const operation::ColdSends::Send& send) override;
  void clientsChanged() override;
  void share(bool shared) override { platform_->share(shared); }
  operation::Prepared prepare(bool follows) override;
  void serve() override { platform_->front().server().startAccepting(); }
  std::string list() const override { return platform_->list(); }
  std::optional<std::string> answer(std::string_view line) const override;
  membership::LoadMeter::Totals load() const override;
  void shares(const membership::Share& share) override;
  bool accompanied() const override { return ops_ && ops_->follows(); }
  void startMembership();

  Options options_;
  net::Loop& loop_;
  std::optional<config::Config> platformConfig_;
  config::Config base_;  // the platform's, or what stands for it
  config::Operator operator_;
  telemetry::LogWriter writer_;
  broker::Log log_;
  std::optional<ops::Side> ops_;  // with the platform's part
  std::optional<platform::Side> platform_;
  std::optional<features::Side> features_;
  std::optional<grpc::Side> grpc_;
  std::optional<fleet::Side> fleet_;
  std::optional<snmp::Agent> snmp_;
  bool ending_ = false;
  Nanos answeredBy_ = 0;  // ending: by then all that is open has its final answer
  net::Loop::TimerId sendAwayTimer_{};
};

int run(const Options& options);

}  // namespace topazweir::cli

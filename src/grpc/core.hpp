// The broker core of one pool, with its backend. Each pool has its own, as a bulkhead: the delays and the
// health that the decision module measures apply to servers of one kind only. A core is built for fixed
// settings (the pool's classes and shards, and others); a reload that changes them starts a new core beside
// it, and this one is destroyed after its last call.
#pragma once

#include <functional>

#include "broker/broker.hpp"
#include "grpc/backend.hpp"
#include "net/loop_clock.hpp"

namespace topazweir::grpc {

class Core : private broker::Front {
 public:
  // Called once for each submitted call that was not abandoned, after it has been removed from the open
  // calls.
  using Finished = std::function<void(Exchange&, const broker::FinalAnswer&)>;

  Core(net::Loop& loop, broker::Log& log, const config::GrpcConfig& config, const config::GrpcPool& pool,
       Finished finished)
      : fixedSettings_(fixedSettingsOf(config, pool)),
        finished_(std::move(finished)),
        clock_(loop, [this] { broker_.wake(); }),
        backend_(
            loop, log, exchanges_, config,
            {[this](const auto& id, auto outcome) { broker_.attemptEnded(id, outcome); },
             [this](const auto& id, bool heard) { return broker_.attemptStreaming(id, heard); },
             [this](const auto& id, auto outcome, auto verdict) { broker_.settle(id, outcome, verdict); }}),
        broker_(pool.terms, clock_, backend_, log, &loop.buffers()) {
    updateServers(pool);
  }

  // Passes on the pool's server list.
  void updateServers(const config::GrpcPool& pool) {
    broker_.updateServers(backend_.servers(pool, ServerListUpdate::Scope::full));
  }
  // The process shuts down: all open calls have their final status by then.
  void setShutdownDeadline(Nanos at) { broker_.setShutdownDeadline(at); }
  // Whether this core can serve the pool under this configuration, with an updated server list alone.
  bool fits(const config::GrpcConfig& config, const config::GrpcPool& pool) const {
    return fixedSettings_ == fixedSettingsOf(config, pool);
  }
  // Registers a call and sets the exchange's `requestNo` and `core`; start() sends its first attempt. Returns
  // the error if the request is invalid.
  std::optional<std::string> submit(broker::Request request, const std::shared_ptr<Exchange>& exchange) {
    auto result = broker_.take(std::move(request), *this);
    if (auto* invalid = std::get_if<broker::Invalid>(&result)) return std::move(invalid->why);
    exchange->requestNo = std::get<broker::RequestNo>(result);
    exchange->core = this;
    exchanges_[exchange->requestNo] = exchange;
    return std::nullopt;
  }
  void start(Exchange& exchange) { broker_.begin(exchange.requestNo); }
  // The client has left: cancels the attempts, without a call to `finished`.
  void abandon(Exchange& exchange) {
    broker_.abandon(exchange.requestNo);  // first, since cancelling an attempt looks the exchange up
    exchanges_.erase(exchange.requestNo);
  }
  // Cancels the attempts and finishes the call as failed.
  void failCall(Exchange& exchange) { broker_.failRequest(exchange.requestNo); }

  Backend& backend() { return backend_; }
  const Backend& backend() const { return backend_; }
  const broker::Broker& broker() const { return broker_; }
  bool idle() const { return exchanges_.empty(); }

 private:
  void finish(broker::RequestNo request, broker::FinalAnswer answer) override {
    const auto at = exchanges_.find(request);
    if (at == exchanges_.end()) return;
    const auto exchange = at->second;
    exchanges_.erase(at);
    finished_(*exchange, answer);
  }

  // The settings that cannot change while the core exists.
  struct FixedSettings {
    Settings settings;
    std::size_t maxOpen = 0;
    std::size_t headBytes = 0;
    int window = 0;
    Nanos keepalive = 0;
    Nanos connectTimeout = 0;
    Nanos idle = 0;
    bool operator==(const FixedSettings&) const = default;
  };
  static FixedSettings fixedSettingsOf(const config::GrpcConfig& config, const config::GrpcPool& pool) {
    FixedSettings out{pool.terms.settings, pool.terms.maxOpen,    config.headBytes, config.window,
                      config.keepalive,    config.connectTimeout, config.idle};
    out.settings.seed = 0;  // differs with each reading of the configuration, and is used only at the start
    return out;
  }

  FixedSettings fixedSettings_;
  Finished finished_;
  Exchanges exchanges_;
  net::LoopClock clock_;
  Backend backend_;
  broker::Broker broker_;
};

}  // namespace topazweir::grpc

// The core of one pool with its backend: a bulkhead, since what the decision module learns of delays and
// health holds for servers of one kind. It stands for one shape of the configuration (the pool's classes and
// shards, which the module is built from); a reload that changes that starts another one beside it, and this
// one ends with its last call.
#pragma once

#include <functional>

#include "broker/broker.hpp"
#include "grpc/backend.hpp"
#include "net/loop_clock.hpp"

namespace topazweir::grpc {

class Core : private broker::Front {
 public:
  // Called once for each call taken, after it has left `exchanges`.
  using Finished = std::function<void(Exchange&, const broker::FinalAnswer&)>;

  Core(net::Loop& loop, broker::Log& log, const config::Grpc& config, const config::GrpcPool& pool,
       Finished finished)
      : shape_(shapeOf(config, pool)),
        finished_(std::move(finished)),
        clock_(loop, [this] { broker_.wake(); }),
        backend_(
            loop, log, exchanges_, config,
            {[this](const auto& id, auto outcome) { broker_.attemptEnded(id, outcome); },
             [this](const auto& id, bool heard) { return broker_.attemptBegan(id, heard); },
             [this](const auto& id, auto outcome, auto verdict) { broker_.settle(id, outcome, verdict); }}),
        broker_(pool.terms, clock_, backend_, log) {
    told(pool);
  }

  void told(const config::GrpcPool& pool) { broker_.told(backend_.servers(pool, ListNews::Scope::full)); }
  // Whether it can go on under this configuration, told of the servers alone.
  bool fits(const config::Grpc& config, const config::GrpcPool& pool) const {
    return shape_ == shapeOf(config, pool);
  }
  // What is wrong with the request, if anything; else `exchange` has its number, and begin() starts the call.
  std::optional<std::string> take(broker::Request request, const std::shared_ptr<Exchange>& exchange) {
    auto taken = broker_.take(std::move(request), *this);
    if (auto* invalid = std::get_if<broker::Invalid>(&taken)) return std::move(invalid->why);
    exchange->no = std::get<broker::RequestNo>(taken);
    exchange->core = this;
    exchanges_[exchange->no] = exchange;
    return std::nullopt;
  }
  void begin(Exchange& exchange) { broker_.begin(exchange.no); }
  // The client has left.
  void abandon(Exchange& exchange) {
    broker_.abandon(exchange.no);  // calls off what is out, while the exchange can still be found
    exchanges_.erase(exchange.no);
  }
  void giveUp(Exchange& exchange) { broker_.giveUp(exchange.no); }

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

  struct Shape {
    Settings settings;
    std::size_t maxOpen = 0, headBytes = 0;
    int window = 0;
    Nanos keepalive = 0, connectTimeout = 0, idle = 0;
    bool operator==(const Shape&) const = default;
  };
  static Shape shapeOf(const config::Grpc& c, const config::GrpcPool& pool) {
    Shape out{pool.terms.settings, pool.terms.maxOpen, c.headBytes, c.window,
              c.keepalive,         c.connectTimeout,   c.idle};
    out.settings.seed = 0;  // each reading brings another: for starts only
    return out;
  }

  Shape shape_;
  Finished finished_;
  Exchanges exchanges_;
  net::LoopClock clock_;
  Backend backend_;
  broker::Broker broker_;
};

}  // namespace topazweir::grpc

#include "grpc/grpc_service.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace topazweir::grpc {

namespace {

// How often cores without a pool are checked for open calls.
constexpr Nanos kCoreCheckIntervalNs = 200'000'000;

std::shared_ptr<const Plan> makePlan(config::GrpcConfig config) {
  std::vector<calls::RouteMatch> matches;
  for (const auto& route : config.routes) matches.push_back(route.match);
  auto routes = calls::Routes::compile(matches);  // cannot fail: checked when the configuration was read
  return std::make_shared<const Plan>(Plan{std::move(config), std::get<calls::Routes>(std::move(routes))});
}

void add(BackendCounters& to, const BackendCounters& from) {
  to.connectionsOpened += from.connectionsOpened;
  to.goaways += from.goaways;
  to.resets += from.resets;
  to.refusedStreams += from.refusedStreams;
  to.cutStreams += from.cutStreams;
  to.expired += from.expired;
}

}  // namespace

GrpcService::GrpcService(net::Loop& loop, broker::Log& log, config::GrpcConfig config)
    : loop_(loop), log_(log), plan_(makePlan(std::move(config))), front_(loop, log, plan_) {
  updateCores();
}

GrpcService::~GrpcService() { loop_.cancel(destroyTimer_); }

void GrpcService::updateCores() {
  const auto& config = plan_->config;
  std::map<std::string, Core*, std::less<>> next;
  std::vector<Core*> byPool;
  for (const auto& pool : config.pools) {
    const auto old = currentCores_.find(pool.name);
    Core* core = old == currentCores_.end() ? nullptr : old->second;
    if (core && core->fits(config, pool)) {
      core->updateServers(pool);
    } else {
      cores_.push_back(std::make_unique<Core>(
          loop_, log_, config, pool,
          [this](Exchange& exchange, const auto& answer) { front_.onCallFinished(exchange, answer); }));
      core = cores_.back().get();
      core->setShutdownDeadline(shutdownDeadline_);
    }
    next[pool.name] = core;
    byPool.push_back(core);
  }
  currentCores_ = std::move(next);
  front_.updatePlan(plan_, std::move(byPool));
  destroyIdleCores();
}

std::vector<std::string> GrpcService::reload(config::GrpcConfig newConfig) {
  std::vector<std::string> keys;
  if (newConfig.listen != plan_->config.listen) {
    newConfig.listen = plan_->config.listen;
    keys.emplace_back("grpc.listen");
  }
  plan_ = makePlan(std::move(newConfig));
  updateCores();
  return keys;
}

void GrpcService::setShutdownDeadline(Nanos at) {
  shutdownDeadline_ = at;
  front_.setShutdownDeadline(at);
  for (const auto& core : cores_) core->setShutdownDeadline(at);
}

void GrpcService::destroyIdleCores() {
  loop_.cancel(destroyTimer_);
  const auto isCurrent = [&](const Core* core) {
    return std::any_of(currentCores_.begin(), currentCores_.end(),
                       [&](const auto& entry) { return entry.second == core; });
  };
  for (auto at = cores_.begin(); at != cores_.end();) {
    if (isCurrent(at->get()) || !(*at)->idle()) {
      ++at;
      continue;
    }
    destroyedCounters_ += (*at)->broker().counters();
    add(destroyedBackendCounters_, (*at)->backend().counters());
    at = cores_.erase(at);
  }
  if (cores_.size() > currentCores_.size())
    destroyTimer_ = loop_.after(kCoreCheckIntervalNs, [this] { destroyIdleCores(); });
}

std::size_t GrpcService::open() const {
  std::size_t sum = 0;
  for (const auto& core : cores_) sum += core->broker().open();
  return sum;
}

broker::Counters GrpcService::counters() const {
  auto sum = destroyedCounters_;
  for (const auto& core : cores_) sum += core->broker().counters();
  return sum;
}

std::string GrpcService::print(const std::string& prefix) const {
  const auto& front = front_.counters();
  BackendCounters backend = destroyedBackendCounters_;
  std::size_t connections = 0;
  std::size_t streams = 0;
  std::size_t unwrittenBytes = 0;
  for (const auto& core : cores_) {
    add(backend, core->backend().counters());
    connections += core->backend().connections();
    streams += core->backend().streams();
    unwrittenBytes += core->backend().unwrittenBytes();
  }
  std::string out = broker::print(counters(), prefix);
  const auto line = [&](std::string_view name, std::uint64_t value) {
    out += fmt::format("{}{} {}\n", prefix, name, value);
  };
  line("calls", front.calls);
  line("malformed", front.malformed);
  line("unrouted", front.unrouted);
  line("shed", front.shed);
  line("cancelled", front.cancelled);
  line("floods", front.floods);
  line("health_checks", front.health);
  line("cut_at_drain", front.cutAtDrain);
  line("open", open());
  line("cores", cores_.size());
  line("client_connections", front_.connections());
  line("client_streams", front_.streams());
  line("backend_connections", connections);
  line("backend_streams", streams);
  line("backend_unwritten_bytes", unwrittenBytes);
  line("backend_connections_opened", backend.connectionsOpened);
  line("backend_goaways", backend.goaways);
  line("backend_resets", backend.resets);
  line("backend_refused_streams", backend.refusedStreams);
  line("backend_cut_streams", backend.cutStreams);
  line("expired_attempts", backend.expired);
  line("buffered_bytes", front_.buffers().held());
  line("buffered_bytes_peak", front_.buffers().peak());
  for (int code = 0; code < calls::kStatusCodeCount; ++code)
    line(fmt::format("status{{code={}}}", calls::nameOf(static_cast<calls::Code>(code))),
         front.statuses[static_cast<std::size_t>(code)]);
  return out;
}

}  // namespace topazweir::grpc

#include "platform/platform_service.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr std::size_t kMaxLoggedShards = 20;  // of the shards without a holder, in one log line
}

PlatformService::PlatformService(net::Loop& loop, broker::Log& log, config::PlatformConfig config,
                                 std::function<std::string()> counters, OperationHooks operated)
    : log_(log),
      config_(std::move(config)),
      operated_(std::move(operated)),
      clock_(loop, [this] { broker_.wake(); }),
      directory_(operated_.holds),
      pool_(loop, log_, directory_, poolOptions(),
            [this](const auto& id, auto outcome, auto value) {
              broker_.attemptEnded(id, outcome, std::move(value));
            }),
      broker_(config_.terms, clock_, reportingBackend_, log_, &loop.buffers()) {
  applyKnownList();
  discovery_.emplace(
      loop, log_, Poco::Net::SocketAddress(config_.discovery), config_.zones, generation_,
      DiscoveryRetryPolicy(config_.terms.settings.aggregators, config_.pushed, config_.terms.settings.seed),
      [this](const auto& list) {
        listReceived_ = true;
        generation_ = list.generation;
        applyList(list, list.full ? ServerListUpdate::Scope::full : ServerListUpdate::Scope::changes);
      });
  http::Server::Options options{"platform", Poco::Net::SocketAddress(config_.listen),
                                descriptorShares().clients};
  options.inherited = operated_.listener;
  options.accepts = operated_.accepts;
  front_.emplace(loop, log_, std::move(options), broker_, std::move(counters));
}

DescriptorShares PlatformService::descriptorShares() const {
  return DescriptorShares::of(shared_ ? config_.sockets / 2 : config_.sockets, directory_.serving(),
                              operated_.reservedDescriptors);
}

void PlatformService::share(bool shared) {
  if (std::exchange(shared_, shared) != shared) applyLimits();
}

void PlatformService::ReportingBackend::start(broker::AttemptOrder order) {
  const auto* node = side_.operated_.sent ? side_.directory_.find(order.server) : nullptr;
  if (node) side_.operated_.sent(node->entry.instance, side_.directory_.startedAt(*node));
  side_.pool_.start(std::move(order));
}

void PlatformService::recordSendByOtherProcess(const std::string& instance, Nanos at) {
  if (const auto* node = directory_.find(std::string_view(instance)))
    broker_.recordSendByOtherProcess(node->id, at);
}

void PlatformService::moved(const std::vector<std::string>& instances) {
  publish(directory_.moved(instances));
}

NodePool::Options PlatformService::poolOptions() const {
  return {config_.streamsPerConnection, config_.connectionIdleTimeout, config_.connectTimeout,
          descriptorShares().nodes};
}

void PlatformService::applyLimits() {
  pool_.limit(poolOptions());
  if (front_) front_->server().limit(descriptorShares().clients);
}

std::vector<std::string> PlatformService::reload(config::PlatformConfig fresh) {
  const auto keys = config::resetKeysThatNeedRestart(config_, fresh);
  config_ = std::move(fresh);
  applyLimits();
  broker_.agree(config_.terms);
  discovery_->moveTo(Poco::Net::SocketAddress(config_.discovery));
  return keys;
}

void PlatformService::applyKnownList() {
  std::string why;
  const auto list = config_.known.empty() ? std::nullopt : readNodeList(config_.known, config_.zones, why);
  if (!list && !config_.known.empty()) throw config::ConfigError("key known: " + why);
  if (list) generation_ = list->generation;
  applyList(list.value_or(NodeList{}), ServerListUpdate::Scope::initial);
}

void PlatformService::applyList(const NodeList& list, ServerListUpdate::Scope scope) {
  log_.line("discovery.list", "generation=" + std::to_string(list.generation) + " entries=" +
                                  std::to_string(list.entries.size()) + (list.full ? " full" : ""));
  publish(directory_.apply(list, scope));
}

void PlatformService::publish(ServerListUpdate update) {
  applyLimits();
  broker_.updateServers(
      std::move(update));  // first, so that no attempt starts on a connection about to be closed
  pool_.onDirectoryChanged();
  updateShardsWithoutHolder();
}

// Operators may take the last holder of a shard out of service: the call is carried out, and the log says
// which shards have no holder as a result.
void PlatformService::updateShardsWithoutHolder() {
  const auto& settings = config_.terms.settings;
  auto unserved = directory_.shardsWithoutHolder(settings.shards, settings.cells, settings.reach);
  if (unserved == unserved_) return;
  unserved_ = std::move(unserved);
  std::vector<int> logged(unserved_.begin(), unserved_.begin() + std::min(std::ssize(unserved_),
                                                                          std::ptrdiff_t{kMaxLoggedShards}));
  log_.line("operation.shards_without_holder",
            fmt::format("{} of {}: {}{}", unserved_.size(), settings.shards, fmt::join(logged, ","),
                        logged.size() < unserved_.size() ? ",..." : ""));
}

}  // namespace topazweir::platform

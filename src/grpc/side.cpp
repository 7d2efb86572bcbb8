#include "grpc/side.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace topazweir::grpc {

namespace {

constexpr Nanos kRetire = 200'000'000;

std::shared_ptr<const Plan> makePlan(config::Grpc config) {
  std::vector<calls::Match> matches;
  for (const auto& route : config.routes) matches.push_back(route.match);
  auto routes = calls::Routes::compile(matches);  // checked when the configuration was read
  return std::make_shared<const Plan>(Plan{std::move(config), std::get<calls::Routes>(std::move(routes))});
}

void add(BackendCounters& to, const BackendCounters& from) {
  to.connectionsOpened += from.connectionsOpened, to.goaways += from.goaways, to.resets += from.resets;
  to.refusedStreams += from.refusedStreams, to.cutStreams += from.cutStreams;
}

}  // namespace

Side::Side(net::Loop& loop, broker::Log& log, config::Grpc config)
    : loop_(loop), log_(log), plan_(makePlan(std::move(config))), front_(loop, log, plan_) {
  useCores();
}

Side::~Side() { loop_.cancel(retireTimer_); }

// A core for each pool: the one there is, where it fits, so that what it has learned is kept.
void Side::useCores() {
  const auto& config = plan_->config;
  std::map<std::string, Core*, std::less<>> next;
  std::vector<Core*> byPool;
  for (const auto& pool : config.pools) {
    const auto old = current_.find(pool.name);
    Core* core = old == current_.end() ? nullptr : old->second;
    if (core && core->fits(config, pool)) {
      core->told(pool);
    } else {
      cores_.push_back(
          std::make_unique<Core>(loop_, log_, config, pool,
                                 [this](Exchange& e, const auto& answer) { front_.finished(e, answer); }));
      core = cores_.back().get();
    }
    next[pool.name] = core;
    byPool.push_back(core);
  }
  current_ = std::move(next);
  front_.use(plan_, std::move(byPool));
  retire();
}

std::vector<std::string> Side::reload(config::Grpc fresh) {
  std::vector<std::string> keys;
  if (fresh.listen != plan_->config.listen) {
    fresh.listen = plan_->config.listen;
    keys.emplace_back("grpc.listen");
  }
  plan_ = makePlan(std::move(fresh));
  useCores();
  return keys;
}

// A core that no pool stands for any more goes once nothing is open in it, and its connections with it.
void Side::retire() {
  loop_.cancel(retireTimer_);
  const auto current = [&](const Core* core) {
    return std::any_of(current_.begin(), current_.end(), [&](const auto& c) { return c.second == core; });
  };
  for (auto at = cores_.begin(); at != cores_.end();) {
    if (current(at->get()) || !(*at)->idle()) {
      ++at;
      continue;
    }
    past_ += (*at)->broker().counters();
    add(pastBackend_, (*at)->backend().counters());
    at = cores_.erase(at);
  }
  if (cores_.size() > current_.size()) retireTimer_ = loop_.after(kRetire, [this] { retire(); });
}

std::size_t Side::open() const {
  std::size_t sum = 0;
  for (const auto& core : cores_) sum += core->broker().open();
  return sum;
}

broker::Counters Side::counters() const {
  auto sum = past_;
  for (const auto& core : cores_) sum += core->broker().counters();
  return sum;
}

std::string Side::print(const std::string& prefix) const {
  const auto& f = front_.counters();
  BackendCounters b = pastBackend_;
  std::size_t connections = 0, streams = 0;
  for (const auto& core : cores_) {
    add(b, core->backend().counters());
    connections += core->backend().connections(), streams += core->backend().streams();
  }
  std::string out = broker::print(counters(), prefix);
  const auto line = [&](std::string_view name, std::uint64_t value) {
    out += fmt::format("{}{} {}\n", prefix, name, value);
  };
  line("calls", f.calls), line("malformed", f.malformed), line("unrouted", f.unrouted), line("shed", f.shed);
  line("cancelled", f.cancelled), line("floods", f.floods), line("health_checks", f.health);
  line("cut_at_drain", f.cutAtDrain), line("open", open()), line("cores", cores_.size());
  line("client_connections", front_.connections()), line("client_streams", front_.streams());
  line("backend_connections", connections), line("backend_streams", streams);
  line("backend_connections_opened", b.connectionsOpened), line("backend_goaways", b.goaways);
  line("backend_resets", b.resets), line("backend_refused_streams", b.refusedStreams);
  line("backend_cut_streams", b.cutStreams);
  line("buffered_bytes", front_.pressure().held), line("buffered_bytes_peak", front_.pressure().peak);
  for (int code = 0; code < calls::kCodes; ++code)
    line(fmt::format("status{{code={}}}", calls::nameOf(static_cast<calls::Code>(code))),
         f.statuses[static_cast<std::size_t>(code)]);
  return out;
}

}  // namespace topazweir::grpc

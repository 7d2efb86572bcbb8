// Reading of the block `grpc`.
#include "config/grpc_config.hpp"

#include <algorithm>
#include <set>

namespace topazweir::config {

namespace {

constexpr std::int64_t kDayMs = 24 * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::size_t kBatchTurnsFrom = 16;  // with more open requests than this, a pool batches its events
constexpr Nanos kTickNs = 1'000'000;
constexpr int kMaxAttempts = 4;     // of any route
constexpr double kLateWorth = 0.5;  // share of the worth that an answer keeps after its aim

// Fails unless `key` is a valid metadata key: an HTTP/2 field name (RFC 9113 section 8.2) in lower case
// without blanks.
void checkMetadataKey(const Reader& reader, std::string_view path, std::string_view key) {
  const bool good = !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == '-' || c == '_' || c == '.';
  });
  if (!good) reader.fail(path, "a metadata key is not made of a-z, 0-9, '-', '_' and '.'");
}

GrpcBackend readBackend(const Reader& reader, const GrpcPool& pool) {
  GrpcBackend b;
  b.address = reader.address("name");
  b.zone = reader.text("zone", "");
  b.state = readServerState(reader);
  for (const auto shard : reader.integers("shards", 0, pool.shards - 1))
    b.shards.push_back(static_cast<int>(shard));
  if (b.shards.empty())
    for (int s = 0; s < pool.shards; ++s) b.shards.push_back(s);
  return b;
}

GrpcPool readPool(const Reader& reader, const Settings& platformSettings) {
  GrpcPool pool;
  pool.name = reader.text("name");
  pool.shards = static_cast<int>(reader.integer("shards", 1, 4096, 1));
  pool.shardBy = reader.text("shardBy", "");
  if (!pool.shardBy.empty()) checkMetadataKey(reader, "shardBy", pool.shardBy);
  if (pool.shardBy.empty() && pool.shards > 1) reader.fail("shardBy", "missing: more than one shard");
  pool.connections = static_cast<std::size_t>(reader.integer("connections", 1, 1000, 2));
  pool.streams = static_cast<std::size_t>(reader.integer("streams", 1, kMaxCount, 100));
  pool.queue = static_cast<std::size_t>(reader.integer("queue", 0, kMaxCount, 100));
  std::set<std::string> addresses;
  std::set<int> heldShards;
  for (const auto& b : reader.objects("backend")) {
    pool.backends.push_back(readBackend(b, pool));
    if (!addresses.insert(pool.backends.back().address).second)
      b.fail("name", "duplicate backend in this pool");
    heldShards.insert(pool.backends.back().shards.begin(), pool.backends.back().shards.end());
  }
  for (int s = 0; s < pool.shards; ++s)
    if (heldShards.count(s) == 0) reader.fail("backend", "no backend holds shard " + std::to_string(s));
  pool.terms.name = pool.name;
  pool.terms.batchTurnsFrom = kBatchTurnsFrom;
  // A call counts twice: as a query and as its only part.
  pool.terms.maxOpen = 2 * static_cast<std::size_t>(reader.integer("calls", 1, kMaxCount, 20'000));
  Settings& s = pool.terms.settings;
  s = settingsForStaticServers(platformSettings, pool.shards);
  s.aggregators = 1;
  s.number = 0;
  s.tick = kTickNs;
  s.parallel = static_cast<double>(reader.integer("parallel", 1, kMaxCount, 64));
  s.cancelling = true;
  s.maxRetryAfter = reader.millis("maxRetryAfterMs", 1, kDayMs, 2'000);
  s.maxAttempts = kMaxAttempts;
  s.hedging = false;
  s.classes.clear();
  return pool;
}

calls::RouteMatch readMatch(const Reader& reader) {
  calls::RouteMatch match;
  const bool service = reader.find("service") != nullptr;
  const bool prefix = reader.find("prefix") != nullptr;
  if (service && prefix) reader.fail("prefix", "cannot be combined with service");
  const auto method = reader.text("method", "");
  match.service = service ? reader.text("service") : reader.text("prefix", "");
  if (!method.empty() && !service) reader.fail("method", "given without service");
  if (method.find('/') != std::string::npos || match.service.find('/') != std::string::npos)
    reader.fail(service ? "service" : "prefix", "contains a slash: service and method are separate keys");
  match.method = method;
  match.kind = !method.empty()          ? calls::RouteMatch::Kind::method
               : service                ? calls::RouteMatch::Kind::service
               : !match.service.empty() ? calls::RouteMatch::Kind::prefix
                                        : calls::RouteMatch::Kind::any;
  match.authority = reader.text("authority", "");
  std::transform(match.authority.begin(), match.authority.end(), match.authority.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  for (auto& [key, value] : reader.pairs("metadata")) {
    checkMetadataKey(reader, "metadata", key);
    match.exact.push_back({key, value});
  }
  match.present = reader.texts("metadataPresent");
  for (const auto& key : match.present) checkMetadataKey(reader, "metadataPresent", key);
  return match;
}

// Returns the statuses to retry on as a bit set, indexed by status code.
std::uint32_t readRetryOn(const Reader& reader) {
  if (reader.find("retryOn") == nullptr) return calls::CallPolicy{}.retryOn;
  std::uint32_t bits = 0;
  for (const auto& name : reader.texts("retryOn")) {
    const auto code = calls::parseStatusName(name);
    if (!code || *code == calls::Code::ok)
      reader.fail("retryOn", name + " is no status to retry on, such as UNAVAILABLE");
    bits |= 1U << static_cast<unsigned>(*code);
  }
  return bits;
}

GrpcRoute readRoute(const Reader& reader, const std::vector<GrpcPool>& pools) {
  GrpcRoute route;
  route.name = reader.text("name");
  route.match = readMatch(reader);
  const auto pool = reader.text("pool");
  const auto at = std::find_if(pools.begin(), pools.end(), [&](const auto& p) { return p.name == pool; });
  if (at == pools.end()) reader.fail("pool", "no pool is named " + pool);
  route.pool = static_cast<std::size_t>(at - pools.begin());
  QueryClass& c = route.limits;
  c.name = route.name;
  c.deadline = reader.millis("deadlineMs", 1, kDayMs, 10'000);
  c.aim = reader.millis("aimMs", 1, c.deadline / 1'000'000,
                        std::clamp<std::int64_t>(c.deadline / 2'000'000, 1, 1000));
  c.minLateTime = reader.millis("lateMs", 0, kDayMs, std::clamp<std::int64_t>(c.aim / 5'000'000, 1, 100));
  c.lateWorth = kLateWorth;  // a late answer still has worth: only the deadline ends a call
  c.effect = static_cast<Effect>(reader.choice("effect", {"safe", "keyed", "unsafe"}, 2));
  c.keyedWindow = reader.millis("keyedMs", 0, kDayMs, 0);
  if (c.effect == Effect::keyed && c.keyedWindow == 0) reader.fail("keyedMs", "missing: effect is keyed");
  c.maxAttempts = static_cast<int>(reader.integer("attempts", 1, kMaxAttempts, 3));
  c.copies = reader.flag("hedging", false);
  if (c.copies && c.effect != Effect::safe)
    reader.fail("hedging", "only a safe call may be sent twice at once");
  route.policy.attemptTimeout = reader.millis("attemptMs", 0, kDayMs, 0);
  route.policy.retryOn = readRetryOn(reader);
  route.policy.replay = static_cast<std::size_t>(reader.integer("replayBytes", 0, 16 * kMaxCount, 64 * 1024));
  route.policy.message =
      static_cast<std::size_t>(reader.integer("messageBytes", 1, 2'000 * kMaxCount, 4 * 1024 * 1024));
  return route;
}

}  // namespace

GrpcConfig readGrpc(const Reader& reader, const PlatformConfig& platform) {
  GrpcConfig out;
  out.listen = reader.address("listen");
  out.connections = static_cast<std::size_t>(reader.integer("connections", 1, kMaxCount, 256));
  out.streams = static_cast<std::size_t>(reader.integer("streams", 1, kMaxCount, 1000));
  out.headBytes = static_cast<std::size_t>(reader.integer("headBytes", 1024, kMaxCount, 16 * 1024));
  out.bufferBytes =
      static_cast<std::size_t>(reader.integer("bufferBytes", 64 * 1024, 1'000 * kMaxCount, 32 * 1024 * 1024));
  out.window = static_cast<int>(reader.integer("windowBytes", 16 * 1024, 16 * kMaxCount, 64 * 1024));
  out.connectTimeout = reader.millis("connectTimeoutMs", 1, 60'000, 250);
  out.idle = reader.millis("idleMs", 100, kDayMs, 60'000);
  out.drain = reader.millis("drainMs", 0, kDayMs, 30'000);
  out.keepalive = reader.millis("keepaliveMs", 0, kDayMs, 300'000);
  out.streamingAfter = reader.millis("openAfterMs", 1, kDayMs, 100);
  out.logCalls = reader.flag("logCalls", false);

  std::set<std::string> names;
  for (const auto& p : reader.objects("pool")) {
    out.pools.push_back(readPool(p, platform.terms.settings));
    if (!names.insert(out.pools.back().name).second) p.fail("name", "duplicate name");
  }
  if (out.pools.empty()) reader.fail("pool", "missing: at least one pool is needed");
  names.clear();
  std::vector<calls::RouteMatch> matches;
  for (const auto& route : reader.objects("route")) {
    out.routes.push_back(readRoute(route, out.pools));
    if (!names.insert(out.routes.back().name).second) route.fail("name", "duplicate name");
    matches.push_back(out.routes.back().match);
  }
  if (out.routes.empty()) reader.fail("route", "missing: at least one route is needed");
  const auto table = calls::Routes::compile(matches);
  if (const auto* fault = std::get_if<std::string>(&table)) reader.fail("route", *fault);

  for (auto& route : out.routes) {
    auto& terms = out.pools[route.pool].terms;
    route.queryClass = static_cast<int>(terms.settings.classes.size());
    terms.settings.classes.push_back(route.limits);
    terms.settings.hedging = terms.settings.hedging || route.limits.copies;
    terms.maxDeadline = std::max(terms.maxDeadline, route.limits.deadline);
  }
  for (std::size_t p = 0; p < out.pools.size(); ++p)
    if (out.pools[p].terms.settings.classes.empty())
      reader.fail("pool." + std::to_string(p) + ".name", "no route leads to pool " + out.pools[p].name);
  return out;
}

}  // namespace topazweir::config

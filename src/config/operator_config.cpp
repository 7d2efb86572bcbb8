// Reading of the operator file.
#include "config/operator_config.hpp"

namespace topazweir::config {

namespace {
constexpr Nanos kMs = 1'000'000;
}

OperatorConfig readOperator(std::string_view hcl, const std::string& file, const PlatformConfig& platform) {
  const Node root = readHcl(hcl, file);
  const Reader reader(root, "", file);
  OperatorConfig out;
  if (const auto log = reader.object("log")) {
    out.log.format = static_cast<telemetry::Format>(log->choice("format", {"text", "json"}, 0));
    out.log.level =
        static_cast<telemetry::Level>(log->choice("level", {"debug", "info", "warning", "error"}, 1));
    out.log.time = log->flag("time", false);
  }
  if (const auto features = reader.object("features")) out.features = readFeatures(*features, platform);
  if (const auto snmp = reader.object("snmp")) out.snmp = readSnmp(*snmp);
  if (const auto grpc = reader.object("grpc")) out.grpc = readGrpc(*grpc, platform);
  if (const auto membership = reader.object("membership"))
    out.membership = readMembership(*membership, platform.name);
  reader.refuseUnknown();
  out.settings = reader.settings();
  return out;
}

PlatformConfig standalone(std::uint64_t seed) {
  PlatformConfig out;
  Settings& s = out.terms.settings;
  s.seed = seed;
  s.tick = 5 * kMs;
  s.shards = 1;
  s.maxAttempts = 4;
  s.hedging = true;
  s.cancelling = true;
  s.retryAfter = true;
  s.maxRetryAfter = 2000 * kMs;
  s.drainGrace = 500 * kMs;
  s.classes.push_back({.name = "query", .aim = 1000 * kMs, .deadline = 2000 * kMs});
  out.terms.maxDeadline = 20'000 * kMs;
  out.connectTimeout = 250 * kMs;
  out.connectionIdleTimeout = 30'000 * kMs;
  return out;
}

}  // namespace topazweir::config

// `topazweir check` and `topazweir explain`.
#include "cli/inspect.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "calls/shard.hpp"
#include "calls/timeout.hpp"
#include "cli/serve.hpp"

namespace topazweir::cli {

namespace {

// Reads the operator file, on top of the platform's configuration if there is one.
config::OperatorConfig readFile(const Options& options) {
  const auto platform = readPlatform(options);
  return config::readOperator(config::readFile(options.file), options.file,
                              platform ? *platform : config::standalone(0));
}

// Builds a call's header list from the arguments "/package.Service/Method" and "key=value".
calls::Fields headerListOf(const Options& options) {
  calls::Fields head{{":method", "POST"}, {":path", options.request.front()}};
  if (!options.authority.empty()) head.push_back({":authority", options.authority});
  for (std::size_t i = 1; i < options.request.size(); ++i) {
    const auto& argument = options.request[i];
    const auto equals = argument.find('=');
    if (equals == 0 || equals == std::string::npos)
      throw config::ConfigError("request: " + argument + " is not key=value");
    head.push_back({argument.substr(0, equals), argument.substr(equals + 1)});
  }
  return head;
}

// By the values of Effect and ServerState.
constexpr const char* kEffects[] = {"safe", "keyed", "unsafe"};
constexpr const char* kStates[] = {"ready", "draining", "gone"};

}  // namespace

int check(const Options& options, std::ostream& out) {
  const auto file = readFile(options);
  std::size_t width = 0;
  for (const auto& s : file.settings) width = std::max(width, s.path.size());
  for (const auto& s : file.settings)
    out << fmt::format("{:<{}} = {}{}\n", s.path, width, s.value, s.isExplicit ? "" : "  # default");
  out << fmt::format("# {}: valid; parts:{}{}{}{}\n", options.file, file.features ? " features" : "",
                     file.grpc ? " grpc" : "", file.snmp ? " snmp" : "",
                     file.membership ? " membership" : "");
  return kSucceeded;
}

int explain(const Options& options, std::ostream& out) {
  const auto file = readFile(options);
  if (!file.grpc) throw config::ConfigError("key grpc: missing: no route is configured");
  const auto& grpc = *file.grpc;
  const auto head = headerListOf(options);
  if (!calls::parsePath(head[1].value))
    throw config::ConfigError("request: " + head[1].value + " is not /package.Service/Method");
  std::vector<calls::RouteMatch> matches;
  for (const auto& route : grpc.routes) matches.push_back(route.match);
  const auto routes = std::get<calls::Routes>(calls::Routes::compile(matches));
  std::vector<calls::ExaminedRoute> considered;
  const auto found = routes.find(head, &considered);
  for (const auto& c : considered) out << fmt::format("route {}: {}\n", grpc.routes[c.route].name, c.why);
  if (!found) {
    out << "no route matches: the call gets UNIMPLEMENTED\n";
    return kFailed;
  }
  const auto& route = grpc.routes[*found];
  const auto& pool = grpc.pools[route.pool];
  out << fmt::format("pool {}: {} shard(s)\n", pool.name, pool.shards);
  int shard = 0;
  if (!pool.shardBy.empty()) {
    const auto key = calls::find(head, pool.shardBy);
    if (!key) {
      out << fmt::format("{} is missing: the call gets INVALID_ARGUMENT\n", pool.shardBy);
      return kFailed;
    }
    shard = calls::shardOf(*key, pool.shards);
    out << fmt::format("shard {}: by {}={}\n", shard, pool.shardBy, *key);
  }
  for (const auto& b : pool.backends)
    if (std::find(b.shards.begin(), b.shards.end(), shard) != b.shards.end())
      out << fmt::format("backend {} {}{}{}\n", b.address, kStates[static_cast<int>(b.state)],
                         b.zone.empty() ? "" : " zone=", b.zone);
  const auto& limits = route.limits;
  const auto timeoutText = calls::find(head, "grpc-timeout");
  const auto timeout = timeoutText ? calls::parseTimeout(*timeoutText) : std::nullopt;
  if (timeoutText && !timeout) {
    out << "grpc-timeout is malformed: the call gets INTERNAL\n";
    return kFailed;
  }
  const bool fromClient = timeout && *timeout < limits.deadline;
  out << fmt::format(
      "deadline {} ms ({}); aim {} ms\n", calls::effectiveTimeout(timeout, limits.deadline) / 1'000'000,
      fromClient ? "the client's grpc-timeout" : "the route's deadlineMs", limits.aim / 1'000'000);
  out << fmt::format(
      "effect {}; {} attempt(s) at most; hedging {}; an attempt has {}\n",
      kEffects[static_cast<int>(limits.effect)], limits.maxAttempts, limits.copies ? "on" : "off",
      route.policy.attemptTimeout > 0 ? fmt::format("{} ms", route.policy.attemptTimeout / 1'000'000)
                                      : "the call's time");
  std::string codes;
  for (int code = 1; code < calls::kStatusCodeCount; ++code)
    if (route.policy.retries(static_cast<calls::Code>(code)))
      codes.append(" ").append(calls::nameOf(static_cast<calls::Code>(code)));
  out << fmt::format("a further attempt after:{}\n", codes.empty() ? " none" : codes);
  out << fmt::format("replay {} bytes; messages up to {} bytes\n", route.policy.replay, route.policy.message);
  return kSucceeded;
}

}  // namespace topazweir::cli

// Tests the operator configuration file: its syntax, error messages that name position and key, and the two
// log formats.
#include "check.hpp"
#include "config/operator_config.hpp"
#include "cuts.hpp"

namespace topazweir::test {
namespace {

using namespace config;

std::string show(const Node& node) {
  if (const auto* b = std::get_if<bool>(&node.value)) return *b ? "true" : "false";
  if (const auto* i = std::get_if<std::int64_t>(&node.value)) return std::to_string(*i);
  if (const auto* d = std::get_if<double>(&node.value)) return std::to_string(*d);
  if (const auto* s = std::get_if<std::string>(&node.value)) return '"' + *s + '"';
  std::string out;
  if (const auto* list = std::get_if<Node::List>(&node.value)) {
    for (const auto& item : *list) out += (out.empty() ? "" : ",") + show(item);
    return "[" + out + "]";
  }
  if (const auto* object = std::get_if<Node::Object>(&node.value)) {
    for (const auto& m : *object) out += (out.empty() ? "" : ",") + m.key + "=" + show(m.value);
    return "{" + out + "}";
  }
  return "null";
}

std::string errorOf(const std::string& text) {
  try {
    readOperator(text, "f.hcl", standalone(1));
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

constexpr const char* kAll = R"(# a comment
a = 1 // another
/* and a
   third */ b = [ "x\n\t\"\\\u00e9\U0001F600", -2.5e1, true, false, null, [], {}, ]
c = { d = 1, "e f" : "$${x} %%{y}"
  g-h = [
    1,
    2 # last
  ] }
block { in = "line" }
block "label" {
  nested bare { z = 0 }
}
)";

void syntax() {
  CHECK(show(readHcl(kAll, "f")) ==
        "{a=1,b=[\"x\n\t\"\\\xc3\xa9\xf0\x9f\x98\x80\",-25.000000,true,false,null,[],{}],c={d=1,e f=\"${x} "
        "%{y}\",g-h=[1,2]},"
        "block=[{in=\"line\"},{name=\"label\",nested=[{name=\"bare\",z=0}]}]}");
  CHECK(show(readHcl("", "f")) == "{}" && show(readHcl("\r\na = 1\r\n", "f")) == "{a=1}" &&
        show(readHcl("a=1", "f")) == "{a=1}");
  const std::vector<std::pair<std::string, std::string>> faults = {
      {"a = ", "1:5: expected a text"},
      {"a = 1 b = 2", "1:7: expected a new line"},
      {"a = \"x", "1:7: "},
      {"a = \"${x}\"", "1:6: templates"},
      {"a = \"\\q\"", "1:7: an unknown escape"},
      {"a = [1 2]", "1:8: expected a value, ',' or ']'"},
      {"a = 1\na = 2\n", "key a: given twice"},
      {"b {\n", "2:1: expected a name or '}'"},
      {"/* x", "never ends"},
      {"a 1", "1:3: expected '=', a label or '{'"},
      {"a = { b }", "expected '='"},
      {"\"a\" = 1", "1:1: expected a name"},
      {"a = \"\\ud800\"", "not a Unicode"},
      {"a = 1e999", "out of range"},
      {"b \"x\" \"y\" {}\n", "more than one label"},
      {"b {}\nb = 1", "key b: given twice"},
      {"a = 12x", "1:5: expected a text"},
      {"a = " + std::string(100, '['), "nested too deeply"}};
  for (const auto& [text, expected] : faults) {
    std::string message;
    try {
      readHcl(text, "f");
    } catch (const ConfigError& error) {
      message = error.what();
    }
    if (message.find(expected) == std::string::npos)
      std::fprintf(stderr, "%s: %s\n", text.c_str(), message.c_str());
    CHECK(message.rfind("f:", 0) == 0 && message.find(expected) != std::string::npos);
  }
  checkGarbageInput(kAll, [](const std::vector<std::string>& pieces) {
    std::string all;
    for (const auto& p : pieces) all += p;
    try {
      return show(readHcl(all, "f"));
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
  });
}

const std::string kGrpc = R"(grpc {
  listen = "127.0.0.1:0"
  pool "p" {
    shards = 2
    shardBy = "x-k"
    backend "127.0.0.1:1" {}
  }
  route "r" {
    service = "a.B"
    pool = "p"
  }
}
)";

void settings() {
  const auto good = readOperator("log {\n format = \"json\"\n}\n" + kGrpc, "f.hcl", standalone(1));
  CHECK(good.log.format == telemetry::Format::json && good.grpc && !good.features && !good.snmp);
  const auto& pool = good.grpc->pools[0];
  CHECK(pool.shards == 2 && pool.backends[0].shards.size() == 2 && pool.terms.settings.classes.size() == 1);
  CHECK(good.grpc->routes[0].limits.effect == Effect::unsafe && !good.grpc->routes[0].limits.copies);
  const auto with = [](const std::string& at, const std::string& more) {
    auto text = kGrpc;
    return text.replace(text.find(at), at.size(), more);
  };
  const std::vector<std::pair<std::string, std::string>> faults = {
      {"logg {}\n", "f.hcl:1:1: key logg: unknown; the nearest known one is log"},
      {"log {\n level = \"loud\"\n}\n", "f.hcl:2:10: key log.level: not debug, info, warning or error"},
      {"log {}\nlog {}\n", "key log: given more than once"},
      {"log = 1\n", "key log: not an object"},
      {with("shards = 2", "shards = 0"), "f.hcl:4:14: key grpc.pool.0.shards: not within"},
      {with("shardBy = \"x-k\"", ""), "key grpc.pool.0.shardBy: missing"},
      {with("shardBy = \"x-k\"", "shardBy = \"X-K\""), "key grpc.pool.0.shardBy: a metadata key"},
      {with("backend \"127.0.0.1:1\" {}", "backend \"127.0.0.1:1\" { shards = [0] }"),
       "no backend holds shard 1"},
      {with("backend \"127.0.0.1:1\" {}", "backend \"here\" {}"), "not an address and port"},
      {with("pool = \"p\"", "pool = \"q\""), "f.hcl:10:12: key grpc.route.0.pool: no pool is named q"},
      {with("service = \"a.B\"", "service = \"a.B\"\n efect = \"safe\""),
       "key grpc.route.0.efect: unknown; the nearest known one is effect"},
      {with("service = \"a.B\"", "service = \"a.B\"\n hedging = true"),
       "key grpc.route.0.hedging: only a safe call"},
      {with("service = \"a.B\"", "service = \"a.B\"\n effect = \"keyed\""),
       "key grpc.route.0.keyedMs: missing"},
      {with("service = \"a.B\"", "service = \"a.B\"\n retryOn = [\"BUSY\"]"), "BUSY is no status"},
      {with("service = \"a.B\"", "method = \"M\""), "key grpc.route.0.method: given without service"},
      {with("route \"r\"", "route \"s\" {\n service = \"a.B\"\n pool = \"p\"\n}\nroute \"r\""),
       "are equal: /a.B/* and /a.B/*"},
      {with("listen = \"127.0.0.1:0\"", ""), "key grpc.listen: missing"},
      {"grpc {\n listen = \"127.0.0.1:0\"\n}\n", "key grpc.pool: missing"},
      {"snmp {\n listen = \"10.0.0.1:161\"\n}\n", "f.hcl:2:11: key snmp.listen: not a loopback address"},
      {"features {\n listen = \"127.0.0.1:0\"\n}\n", "key features.collections: missing or empty"},
  };
  for (const auto& [text, expected] : faults) {
    const auto message = errorOf(text);
    if (message.find(expected) == std::string::npos)
      std::fprintf(stderr, "%s\n  %s\n", expected.c_str(), message.c_str());
    CHECK(message.find(expected) != std::string::npos);
  }
}

void logFormats() {
  using namespace telemetry;
  const LogOptions text, json{Format::json, Level::info, false}, timed{Format::text, Level::info, true};
  CHECK(format(text, "grpc.call_failed", "call=g1 status=UNAVAILABLE", 0) ==
        "grpc.call_failed call=g1 status=UNAVAILABLE");
  CHECK(format(timed, "started", "x", 1'500'000'000) == "1970-01-01T00:00:01.500Z info started x");
  CHECK(
      format(json, "grpc.flood", "s-1 what=\"empty DATA\" n=3 why=a b=c", 0) ==
      R"({"ts":"1970-01-01T00:00:00.000Z","level":"warning","event":"grpc.flood","text":"s-1","what":"empty DATA","n":"3","why":"a b=c"})");
  CHECK(format(json, "x", "a=\"\x01\"", 0).find(R"("a":"\u0001")") != std::string::npos);
  CHECK(levelOf("request.overdue") == Level::error && levelOf("started") == Level::info);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::syntax();
  topazweir::test::settings();
  topazweir::test::logFormats();
}

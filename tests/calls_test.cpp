// Tests the pure parts of call handling: status mapping, time-outs, header fields, routing, the state machine
// of a call, buffers, connection choice, flood protection and health messages.
#include <algorithm>
#include <random>
#include <set>

#include "calls/call.hpp"
#include "calls/connection_choice.hpp"
#include "calls/routes.hpp"
#include "calls/shard.hpp"
#include "calls/timeout.hpp"
#include "check.hpp"
#include "cuts.hpp"
#include "grpc/health.hpp"
#include "http2/flood_guard.hpp"

namespace topazweir::test {
namespace {

using namespace calls;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;

void statuses() {
  for (int i = 0; i < kStatusCodeCount; ++i) {
    const auto code = static_cast<Code>(i);
    CHECK(parseStatusName(nameOf(code)) == code && parseStatusCode(std::to_string(i)) == code);
  }
  CHECK(!parseStatusName("NOPE") && parseStatusCode("17") == Code::unknown && !parseStatusCode("") &&
        !parseStatusCode("x") && !parseStatusCode("1 "));
  CHECK(interpretStatus(Code::notFound).counted == CallResult::answered &&
        interpretStatus(Code::unavailable).counted == CallResult::refused);
  CHECK(codeFromHttpStatus(404) == Code::unimplemented && codeFromHttpStatus(503) == Code::unavailable &&
        codeFromHttpStatus(418) == Code::unknown);
  // Only these endings prove that the call did not run: RFC 9113 section 8.7.
  const std::set<Ending> notRun = {Ending::aboveGoaway, Ending::lostBeforeSend, Ending::noStream,
                                   Ending::expired};
  for (int e = 0; e <= static_cast<int>(Ending::tooLarge); ++e)
    for (std::uint32_t http2 = 0; http2 < 20; ++http2) {
      const Ended ended{static_cast<Ending>(e), http2, Code::unavailable, 503};
      const auto verdict = verdictOf(ended);
      const bool refusedStream = ended.ending == Ending::resetByPeer && http2 == 7;
      CHECK(verdict.ran == !(notRun.count(ended.ending) > 0 || refusedStream));
      const bool safe = verdict.outcome == Outcome::rejected || verdict.outcome == Outcome::connectFailed ||
                        verdict.outcome == Outcome::notSent;
      CHECK(safe == !verdict.ran);
    }
  CHECK(verdictOf({Ending::resetByPeer, 8, {}, {}}).code == Code::cancelled);
  CHECK(verdictOf({Ending::resetByPeer, 11, {}, {}}).code == Code::resourceExhausted);
}

void timeouts() {
  CHECK(parseTimeout("1H") == 3600 * kSecond && parseTimeout("2M") == 120 * kSecond &&
        parseTimeout("3S") == 3 * kSecond);
  CHECK(parseTimeout("250m") == 250 * kMs && parseTimeout("7u") == 7000 &&
        parseTimeout("99999999n") == 99'999'999);
  CHECK(parseTimeout("0n") == 0 && parseTimeout("99999999H") > 0);
  for (const auto* bad : {"", "5", "S", "123456789S", "-1S", "1.5S", "1s", "1 S", " 1S", "1SS", "S1"})
    CHECK(!parseTimeout(bad));
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    const Nanos left = static_cast<Nanos>(random() >> (random() % 60 + 3));
    const auto back = parseTimeout(formatTimeout(left));
    CHECK(back && *back <= std::max<Nanos>(left, 1) && *back >= left - left / 1000 - 1);
    CHECK(formatTimeout(left).size() <= 9);
  }
  CHECK(formatTimeout(-5) == "1n" && effectiveTimeout(std::nullopt, 7) == 7 && effectiveTimeout(9, 7) == 7 &&
        effectiveTimeout(3, 7) == 3);
}

Fields request(std::string path = "/a.B/C") {
  return {{":method", "POST"},
          {":path", std::move(path)},
          {"content-type", "application/grpc"},
          {"te", "trailers"}};
}

void fields() {
  CHECK(!validateRequest(request()));
  auto bad = request();
  bad[2].value = "application/json";
  CHECK(validateRequest(bad)->http == 415);
  bad[2].value = "application/grpcx";
  CHECK(validateRequest(bad)->http == 415);
  bad[2].value = "application/grpc+proto";
  CHECK(!validateRequest(bad));
  bad.push_back({"grpc-timeout", "soon"});
  CHECK(validateRequest(bad)->code == Code::internal);
  CHECK(validateRequest(request("/nothing"))->code == Code::unimplemented &&
        validateRequest(request("//x"))->code == Code::unimplemented);
  auto noTe = request();
  noTe.pop_back();
  CHECK(validateRequest(noTe)->code == Code::internal);

  auto head = request();
  const std::vector<std::string> more = {"connection",
                                         "x",
                                         "keep-alive",
                                         "1",
                                         "grpc-timeout",
                                         "1S",
                                         "x-bin",
                                         "AAE=",
                                         "a",
                                         "1",
                                         "a",
                                         "2",
                                         "grpc-previous-rpc-attempts",
                                         "2",
                                         "grpc-encoding",
                                         "gzip"};
  for (std::size_t i = 0; i < more.size(); i += 2) head.push_back({more[i], more[i + 1]});
  const auto sent = toBackend(head, "127.0.0.1:1", 1, 250 * kMs);
  CHECK(!find(sent, "connection") && !find(sent, "keep-alive") && find(sent, "te") == "trailers");
  CHECK(parseTimeout(*find(sent, "grpc-timeout")) <= 250 * kMs &&
        find(sent, "grpc-previous-rpc-attempts") == "3");
  CHECK(find(sent, "x-bin") == "AAE=" && find(sent, "grpc-encoding") == "gzip" &&
        find(sent, ":authority") == "127.0.0.1:1");
  CHECK(std::count_if(sent.begin(), sent.end(), [](const Field& f) { return f.name == "a"; }) == 2);
  CHECK(encodeMessage("a%b\n\xc3\xa9") == "a%25b%0A%C3%A9");
  const auto pushback = [](const std::string& value) {
    Fields trailers;
    trailers.push_back({"grpc-retry-pushback-ms", value});
    return parsePushback(trailers);
  };
  CHECK(!parsePushback({}).given && pushback("-1").stop && pushback("x").stop &&
        pushback("40").wait == 40 * kMs);
}

// Compares the trie with a reference implementation: a scan of all routes for the most specific match.
void routes() {
  const auto reference = [](const std::vector<RouteMatch>& matches, const Fields& head) {
    std::optional<std::size_t> best;
    const auto path = *parsePath(*find(head, ":path"));
    const auto score = [](const RouteMatch& m) {
      const auto depth = std::count(m.service.begin(), m.service.end(), '.') + (m.service.empty() ? 0 : 1);
      return std::tuple(static_cast<int>(m.kind), depth, !m.authority.empty(), m.exact.size(),
                        m.present.size());
    };
    for (std::size_t i = 0; i < matches.size(); ++i) {
      const auto& m = matches[i];
      const bool prefix = path.service.size() > m.service.size() &&
                          path.service.substr(0, m.service.size()) == m.service &&
                          (m.service.empty() || path.service[m.service.size()] == '.');
      bool good = m.kind == RouteMatch::Kind::any || (m.kind == RouteMatch::Kind::prefix && prefix) ||
                  (m.kind >= RouteMatch::Kind::service && path.service == m.service &&
                   (m.kind == RouteMatch::Kind::service || path.method == m.method));
      good = good && (m.authority.empty() || find(head, ":authority") == m.authority);
      for (const auto& f : m.exact) good = good && find(head, f.name) == f.value;
      for (const auto& name : m.present) good = good && find(head, name);
      if (good && (!best || score(m) > score(matches[*best]))) best = i;
    }
    return best;
  };
  std::mt19937 random(17);
  const auto pick = [&](const std::vector<std::string>& words) { return words[random() % words.size()]; };
  int equal = 0, compared = 0;
  for (int round = 0; round < 3000; ++round) {
    std::vector<RouteMatch> matches;
    for (std::size_t i = 0; i < 1 + random() % 6; ++i) {
      RouteMatch m;
      m.kind = static_cast<RouteMatch::Kind>(random() % 4);
      if (m.kind != RouteMatch::Kind::any) m.service = pick({"a", "a.b", "a.b.C", "a.B", "d.C"});
      if (m.kind == RouteMatch::Kind::method) m.method = pick({"M", "N"});
      if (random() % 3 == 0) m.authority = pick({"one", "two"});
      if (random() % 3 == 0) m.exact.push_back({"k", pick({"1", "2"})});
      if (random() % 3 == 0) m.present.push_back("p");
      matches.push_back(std::move(m));
    }
    auto table = Routes::compile(matches);
    if (std::holds_alternative<std::string>(table)) {
      ++equal;
      continue;
    }
    for (int i = 0; i < 20; ++i) {
      auto head = request("/" + pick({"a", "a.b", "a.b.C", "a.B", "d.C", "a.bx.C", "x"}) + "/" +
                          pick({"M", "N", "O"}));
      head.push_back({":authority", pick({"one", "two", "three"})});
      if (random() % 2 == 0) head.push_back({"k", pick({"1", "2"})});
      if (random() % 2 == 0) head.push_back({"p", "x"});
      CHECK(std::get<Routes>(table).find(head) == reference(matches, head));
      ++compared;
    }
  }
  CHECK(equal > 100 && compared > 10'000);
  RouteMatch a, b;
  a.kind = b.kind = RouteMatch::Kind::service;
  a.service = b.service = "x.Y";
  a.exact = {{"k", "1"}};
  b.exact = {{"k", "2"}};  // no call matches both
  CHECK(std::holds_alternative<Routes>(Routes::compile({a, b})));
  b.exact = {{"j", "1"}};  // a call with both fields would be ambiguous
  CHECK(std::get<std::string>(Routes::compile({a, b})).find("are equal") != std::string::npos);
}

// Random events in random order: a call is committed at most once, ends once, and reports the outcome
// correctly.
void callStateMachine() {
  std::mt19937 random(5);
  int committed = 0, passed = 0;
  for (int round = 0; round < 20'000; ++round) {
    memory::Budget pressure;
    CallPolicy policy;
    policy.replay = random() % 3 * 500;
    policy.message = 1'000'000;
    {
      Call call(policy, pressure);
      std::optional<int> owner;
      std::uint64_t taken = 0;
      std::vector<int> out;
      int started = 0;
      bool final = false;
      std::size_t acknowledged = 0;
      for (int step = 0; step < 20 && !final; ++step) {
        switch (random() % 6) {
          case 0: {
            const std::string bytes(random() % 400, 'x');
            if (call.requestData(bytes)) acknowledged = call.request().end();
            if (const auto grown = call.outgrown()) {
              CHECK(!owner && call.isOut(*grown));
              CHECK(call.commit(*grown));
              owner = grown;
            }
            break;
          }
          case 1:
            if (started < 4 && !owner) {
              call.started(started);
              out.push_back(started++);
            }
            break;
          case 2:  // begins to answer
            if (!out.empty()) {
              const int attempt = out[random() % out.size()];
              const bool mine = call.commit(attempt);
              CHECK(mine == (!owner || owner == attempt));
              if (mine) owner = attempt;
            }
            break;
          case 3: {  // ends
            if (out.empty()) break;
            const auto at = random() % out.size();
            const int attempt = out[at];
            out.erase(out.begin() + static_cast<long>(at));
            Ended ended{static_cast<Ending>(random() % 10),
                        static_cast<std::uint32_t>(random() % 14),
                        static_cast<Code>(random() % kStatusCodeCount),
                        {}};
            Fields trailers;
            if (ended.ending == Ending::trailers)
              trailers = {{"grpc-status", std::to_string(static_cast<int>(*ended.status))}};
            if (random() % 4 == 0 && ended.ending == Ending::trailers)
              trailers.push_back({"grpc-retry-pushback-ms", "-1"});
            const auto next = call.ended(attempt, ended, trailers, kSecond);
            if (owner && owner != attempt) CHECK(!next.final);
            if (owner == attempt) CHECK(next.final);
            // An attempt that may have run is never reported to the module as one that has not.
            if (verdictOf(ended).ran)
              CHECK(next.outcome != Outcome::rejected && next.outcome != Outcome::notSent &&
                    next.outcome != Outcome::connectFailed);
            if (!next.final && next.outcome == Outcome::delivered) CHECK(false);
            final = next.final;
            if (!final) break;
            const auto end = call.finish(next.counted, random() % 2 == 0, 0);
            CHECK(call.finished() && find(end.trailers, "grpc-status"));
            if (ended.ending == Ending::trailers) {
              CHECK(end.fromBackend && end.code == *ended.status && end.trailers == trailers);
              ++passed;
            }
            break;
          }
          case 4:  // the committed attempt takes bytes of the request
            if (owner) {
              taken = std::max(taken, call.request().end() -
                                          std::min<std::uint64_t>(call.request().end(), random() % 300));
              acknowledged += call.requestConsumed(taken);
              CHECK(acknowledged <= call.request().end());
            }
            break;
          default:
            if (!out.empty() && !owner) {
              call.dropped(out.back());
              out.pop_back();
            }
        }
        CHECK(call.committed() == owner && pressure.held() == call.request().kept());
      }
      if (owner) ++committed;
      if (!final) {
        const auto end = call.finish(CallResult::failed, true, 0);
        CHECK(end.code == Code::deadlineExceeded && end.trailers.size() == 2);
        CHECK(!call.commit(0) || owner == 0);
      }
    }
    CHECK(pressure.held() == 0);
  }
  CHECK(committed > 1000 && passed > 1000);

  memory::Budget tight;
  tight.setLimit(1000);
  Call first({}, tight), second({}, tight);
  first.started(0);
  second.started(0);
  CHECK(first.requestData(std::string(999, 'x')) && !first.outgrown());
  CHECK(!second.requestData("xx") && second.outgrown() == 0);  // no buffer left for a replay: it is committed

  memory::Budget pressure;
  Call refused({}, pressure);
  const auto end = refused.finish(CallResult::refused, false, 40 * kMs);
  CHECK(end.code == Code::unavailable && find(end.trailers, "grpc-retry-pushback-ms") == "40");
  Call waits({}, pressure);
  waits.started(0);
  const Ended busy{Ending::trailers, 0, Code::unavailable, {}};
  const Fields later = {{"grpc-status", "14"}, {"grpc-retry-pushback-ms", "30"}};
  CHECK(waits.ended(0, busy, later, kSecond).wait == 30 * kMs);
  waits.started(1);
  // Too little time for the retry: the status is passed on with its pushback.
  CHECK(waits.ended(1, busy, later, 20 * kMs).final);
  CHECK(find(waits.finish(CallResult::refused, false, 0).trailers, "grpc-retry-pushback-ms") == "30");
}

void buffersAndMessages() {
  memory::Budget pressure;
  pressure.setLimit(100);
  Body body(pressure);
  std::string all;
  std::mt19937 random(9);
  std::uint64_t dropped = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string piece(random() % 50, '\0');
    for (auto& c : piece) c = static_cast<char>(random());
    body.append(piece);
    all += piece;
    const auto from = dropped + random() % (all.size() - dropped + 1);
    std::string out(random() % 200, '\0');
    out.resize(body.read(from, out.data(), out.size()));
    CHECK(out == all.substr(from, out.size()));
    dropped = std::max(dropped, from);
    body.release(dropped);
    CHECK(body.end() == all.size() && pressure.held() == body.kept() &&
          body.kept() < all.size() - dropped + 50);
  }
  std::string stream;
  for (const std::size_t size : {0U, 1U, 300U, 70'000U})
    stream += std::string{'\0', static_cast<char>(size >> 24), static_cast<char>(size >> 16),
                          static_cast<char>(size >> 8), static_cast<char>(size)} +
              std::string(size, 'm');
  checkSplitInvariance(stream.substr(0, 400), [](const std::vector<std::string>& pieces) {
    MessageMeter meter;
    for (const auto& p : pieces) CHECK(meter.take(p, 100'000));
    return std::to_string(meter.messages()) + (meter.betweenMessages() ? " between" : " within");
  });
  MessageMeter meter;
  CHECK(meter.take(stream, 70'000) && meter.messages() == 4 && meter.betweenMessages());
  CHECK(!MessageMeter().take(stream, 69'999));
}

void connectionChoiceAndShards() {
  using Kind = ConnectionChoice::Kind;
  CHECK(chooseConnection({}, 1).kind == Kind::open && chooseConnection({}, 0).kind == Kind::none);
  const ConnectionState full{true, false, 100, 100}, leaving{true, true, 1, 100},
      coming{false, false, 3, 100}, busy{true, false, 9, 100};
  CHECK(chooseConnection({full}, 1).kind == Kind::none && chooseConnection({full}, 2).kind == Kind::open);
  CHECK(chooseConnection({leaving}, 2).kind == Kind::open);
  CHECK(chooseConnection({full, coming, busy, leaving}, 9).at == 2 &&
        chooseConnection({full, coming}, 9).at == 1);
  CHECK(hashKey("") == 0xcbf29ce484222325ULL &&
        hashKey("a") == 0xaf63dc4c8601ec8cULL);  // published FNV-1a test values
  std::vector<int> counts(7);
  for (int i = 0; i < 7000; ++i)
    ++counts[static_cast<std::size_t>(shardOf("branch-" + std::to_string(i), 7))];
  for (const int c : counts) CHECK(c > 850 && c < 1150);
}

void floodsAreDetected() {
  using Cost = http2::FloodGuard::Cost;
  http2::FloodGuard guard;
  Nanos now = kSecond;
  for (int i = 0; i < 3000; ++i)
    CHECK(guard.allow(Cost::reset, now += 20 * kMs));  // a busy client for a minute is no flood
  int allowed = 0;
  while (guard.allow(Cost::reset, now += 10'000)) ++allowed;
  CHECK(allowed > 300 && allowed < 500);
  CHECK(guard.allow(Cost::ping, now));  // each kind has its own limit
  CHECK(guard.allow(Cost::reset, now + 10 * kSecond));
}

void healthMessages() {
  const auto read = [](const std::string& message) {
    const auto prefix = std::string{'\0', '\0', '\0', '\0', static_cast<char>(message.size())};
    return grpc::parseHealthRequest(prefix + message);
  };
  CHECK(read("") == "" &&
        read("\x0a\x03"
             "a.B") == "a.B" &&
        read("\x10\x05\x0a\x01x") == "x");
  CHECK(!read("\x0a\x09"
              "a.B") &&
        !read("\xff") && !read("\x0b") && !grpc::parseHealthRequest("\x01\0\0\0\0"));
  CHECK(grpc::serializeHealthResponse(grpc::Serving::serving) == std::string("\0\0\0\0\2\x08\x01", 7));
  checkGarbageInput(std::string("\0\0\0\0\5\x0a\x03"
                                "a.B",
                                10),
                    [](const std::vector<std::string>& pieces) {
                      std::string all;
                      for (const auto& p : pieces) all += p;
                      return grpc::parseHealthRequest(all).value_or("");
                    });
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  statuses();
  timeouts();
  fields();
  routes();
  callStateMachine();
  buffersAndMessages();
  connectionChoiceAndShards();
  floodsAreDetected();
  healthMessages();
}

// The pure modules that bound what peers can make the process keep and do: budgets, ids of ended requests,
// the backlog of work sent ahead, and the parser's limits.
#include <vector>

#include "broker/finished_ids.hpp"
#include "check.hpp"
#include "http/message.hpp"
#include "memory/budget.hpp"
#include "memory/resident_limit.hpp"
#include "net/backlog.hpp"

namespace topazweir::test {
namespace {

void budgetsCountAgainstTheirParent() {
  memory::Budget process(100);
  memory::Budget front(60, &process);
  memory::Charge other(&process);
  {
    memory::Charge charge(&front);
    charge.set(50);
    CHECK(!front.full() && front.held() == 50 && process.held() == 50);
    other.set(50);
    CHECK(process.full() && front.full() && front.excess() == 1);  // the parent's limit holds for it, too
    other.set(0);
    charge.set(60);
    CHECK(front.full() && !process.full() && front.excess() == 1);
    memory::Charge moved = std::move(charge);
    charge.set(0);
    CHECK(front.held() == 60);
  }
  CHECK(front.held() == 0 && process.held() == 0 && process.peak() == 100);
}

void nearTheLimitLessIsBuffered() {
  memory::ResidentLimit limit;
  limit.setLimits(1000, 200);
  constexpr Nanos kSecond = 1'000'000'000;
  CHECK(limit.decide(0, 100, 0).bufferLimit == 200);
  CHECK(limit.decide(400, 5, 0).bufferLimit == 200);  // takes 400 without its buffers
  CHECK(!limit.decide(570, 100, 0).trim && limit.decide(600, 100, 0).trim);
  CHECK(!limit.decide(600, 100, 1).trim && limit.decide(600, 100, kSecond).trim);
  CHECK(limit.decide(700, 100, 0).bufferLimit == 200 && limit.decide(750, 100, 0).bufferLimit == 100);
  CHECK(limit.decide(850, 100, 0).bufferLimit == 25 && limit.decide(500, 100, 0).bufferLimit == 200);
  CHECK(limit.decide(900, 5, 0).bufferLimit == 200);  // as large without its buffers: they are not to blame
  CHECK(limit.decide(960, 100, 0).bufferLimit == 100 && limit.decide(980, 100, 0).bufferLimit == 25);
  CHECK(limit.decide(400, 5, 9 * kSecond).bufferLimit == 200);
  CHECK(limit.decide(850, 5, 9 * kSecond).bufferLimit == 25);  // after the start it is what floods have left
}

void finishedIdsAreForgottenInTime() {
  broker::FinishedIds ids;
  ids.add("a", 0);
  CHECK(ids.has("a", broker::FinishedIds::kKeptNs - 1) && !ids.has("b", 0));
  CHECK(!ids.has("a", broker::FinishedIds::kKeptNs) && ids.size() == 0);
  for (std::size_t i = 0; i <= broker::FinishedIds::kMaxIds; ++i) ids.add(std::to_string(i), 1);
  CHECK(ids.size() == broker::FinishedIds::kMaxIds && !ids.has("0", 1) && ids.has("1", 1));
}

// A task that adds itself again gets its next turn after all others, and a slice that is over leaves the
// rest.
void backlogTakesTurns() {
  net::Backlog backlog;
  Nanos now = 0;
  std::vector<int> order;
  std::function<void(int)> add = [&](int task) {
    backlog.add([&, task](Nanos) {
      order.push_back(task);
      now += net::Backlog::kSliceNs / 2;
      if (order.size() < 5) add(task);
    });
  };
  for (const int task : {1, 2, 3}) add(task);
  while (!backlog.empty()) backlog.run([&] { return now; });
  CHECK(order == std::vector<int>({1, 2, 3, 1, 2, 3, 1}));
}

http::Parser::Progress parse(http::Parser& parser, std::string& input, const std::string& more) {
  input += more;
  return parser.parse(input);
}

void headerFieldsAreLimited() {
  const auto head = [](std::size_t fields) {
    std::string text = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (std::size_t i = 1; i < fields; ++i) text += "a:\r\n";
    return text + "\r\n";
  };
  for (const std::size_t fields : {http::Limits{}.fields, http::Limits{}.fields + 1}) {
    http::Parser parser(http::MessageKind::request);
    std::string input;
    const bool whole = parse(parser, input, head(fields)) == http::Parser::Progress::complete;
    CHECK(whole == (fields == http::Limits{}.fields) && (whole || parser.fault().status == 431));
  }
}

void smallChunksTakeTheirBytesAlone() {
  http::Parser parser(http::MessageKind::request);
  std::string input;
  parse(parser, input, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto headBytes = input.size();
  constexpr std::size_t kBodyBytes = 60'000;
  for (std::size_t i = 0; i < kBodyBytes; ++i) {
    CHECK(parse(parser, input, "1\r\nx\r\n") == http::Parser::Progress::more);
    CHECK(input.size() == headBytes + i + 1);
  }
  CHECK(parse(parser, input, "0\r\n\r\n") == http::Parser::Progress::complete);
  CHECK(parser.body(input) == std::string(kBodyBytes, 'x'));
}

// Messages that are skipped parse as those that are removed one by one, however the input is cut.
void skippedMessagesLeaveTheNextWhole() {
  constexpr int kMessages = 2'000;
  const auto target = [](int n) { return "/n" + std::to_string(n); };
  std::string text;
  for (int n = 0; n < kMessages; ++n)
    text += "POST " + target(n) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
  for (const std::size_t cut : {1UL, 7UL, 4'096UL, text.size()}) {
    http::Parser parser(http::MessageKind::request);
    std::string input;
    int seen = 0;
    for (std::size_t at = 0; at < text.size(); at += cut) {
      input.append(text, at, cut);
      while (parser.parse(input) == http::Parser::Progress::complete) {
        CHECK(parser.head(input).target == target(seen++) && parser.body(input) == "ok");
        parser.skip(input);
      }
    }
    CHECK(seen == kMessages && input.empty());
  }
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  budgetsCountAgainstTheirParent();
  nearTheLimitLessIsBuffered();
  finishedIdsAreForgottenInTime();
  backlogTakesTurns();
  headerFieldsAreLimited();
  smallChunksTakeTheirBytesAlone();
  skippedMessagesLeaveTheNextWhole();
}

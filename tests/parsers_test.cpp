// Tests of the project's parsers: HTTP messages, node protocol frames, server lists, queries and GeoJSON
// pages. HTTP messages and frames must give the same result however they are split, and random garbage must
// not break a parser (cuts.hpp).
#include <vector>

#include "cuts.hpp"
#include "features/backend.hpp"
#include "features/geojson.hpp"
#include "features/items_query.hpp"
#include "http/message.hpp"
#include "platform/directory.hpp"
#include "platform/frames.hpp"
#include "platform/query.hpp"

namespace topazweir::test {
namespace {

using http::MessageKind;
using http::Parser;

// Describes the state of an HTTP parser as text, for comparison.
std::string describe(Parser& parser, Parser::Progress progress, const std::string& input) {
  if (progress == Parser::Progress::more) return "more";
  if (progress == Parser::Progress::fault) return "fault " + std::to_string(parser.fault().status);
  const auto head = parser.head(input);
  std::string out =
      std::string(head.method) + " " + std::string(head.target) + " " + std::to_string(head.status);
  for (const auto& [name, value] : head.fields) out += "|" + std::string(name) + "=" + std::string(value);
  return out + (head.keepAlive ? "|keep|" : "|close|") + std::string(parser.body(input));
}

ParseFunction httpParse(MessageKind kind) {
  return [kind](const std::vector<std::string>& pieces) {
    Parser parser(kind);
    std::string input;
    auto progress = Parser::Progress::more;
    for (const auto& piece : pieces) {
      input += piece;
      progress = parser.parse(input);
    }
    return describe(parser, progress, input);
  };
}

// Parses `text` in one piece.
std::string once(MessageKind kind, const std::string& text) { return httpParse(kind)({text}); }

const std::string kPostRequest =
    "POST /wide-search HTTP/1.1\r\nHost: a\r\nReq-Id:  q1 \r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: 1\r\n\r\n";

void httpMessages() {
  for (const auto& [side, text] :
       {std::pair{MessageKind::request, kPostRequest}, {MessageKind::response, kChunkedResponse}}) {
    checkSplitInvariance(text, httpParse(side));
    checkGarbageInput(text, httpParse(side));
  }
  CHECK(once(MessageKind::request, kPostRequest).find("Req-Id=q1|") != std::string::npos);
  CHECK(once(MessageKind::response, kChunkedResponse).substr(0, 6) == "  200|");
  CHECK(once(MessageKind::response, kChunkedResponse).find("hello!") != std::string::npos);
  Parser parser(MessageKind::request);  // two pipelined requests: the second stays unchanged
  std::string input = kPostRequest + kPostRequest;
  CHECK(parser.parse(input) == Parser::Progress::complete);
  parser.next(input);
  CHECK(input == kPostRequest);
  CHECK(parser.parse(input) == Parser::Progress::complete);
}

// Messages that two parsers could interpret differently (request smuggling) and oversized ones are
// rejected.
void httpFaults() {
  const auto head = [](const std::string& fields) {
    return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
  };
  for (const auto& fields :
       {"Content-Length: 1\r\nContent-Length: 1\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: -1\r\n", "Content-Length: 1 \r\n x\r\n", "Content-Length: 0x1\r\n",
        "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip, chunked\r\n", "A : b\r\n",
        "A: b\r\n folded\r\n", "Host: b\r\n", "A: b\nC: d\r\n", ": b\r\n"})
    CHECK(once(MessageKind::request, head(fields)) == "fault 400");
  CHECK(once(MessageKind::request, head("Content-Length: 65537\r\n")) == "fault 413");
  CHECK(once(MessageKind::request, "GET / HTTP/2.0\r\n\r\n") == "fault 505");
  CHECK(once(MessageKind::request, "GET / HTTP/1.1\r\n\r\n") == "fault 400");  // no Host
  CHECK(once(MessageKind::request, "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n") == "fault 400");
  CHECK(once(MessageKind::request, "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x')) == "fault 431");
  const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(once(MessageKind::response, chunks + "zz\r\n") == "fault 400");
  CHECK(once(MessageKind::response, chunks + "20000\r\n") == "fault 413");
  CHECK(once(MessageKind::response, chunks + "1\r\nabc") == "fault 400");
  CHECK(once(MessageKind::response, chunks + std::string(300, '1')) == "fault 400");
}

ParseFunction frameParse() {
  return [](const std::vector<std::string>& pieces) {
    std::string input, out;
    for (const auto& piece : pieces) {
      input += piece;
      for (auto read = platform::readFrame(input); read.frame || read.fault;
           read = platform::readFrame(input)) {
        if (read.fault) return out + "fault";
        const auto reply = platform::readReply(read.frame->rest);
        out += reply ? std::string(reply->id) + "=" + std::string(reply->value) + ";"
                     : std::string("malformed;");
        input.erase(0, read.frame->size);
      }
    }
    return out;
  };
}

void frames() {
  std::string text = "R9b1f.3 done 184 -\nvalue\nwith a line";
  const std::string reply = std::string("\0\0\0", 3) + static_cast<char>(text.size()) + text;
  checkSplitInvariance(reply + reply, frameParse());
  checkGarbageInput(reply, frameParse());
  CHECK(frameParse()({reply}) == "9b1f.3=value\nwith a line;");
  CHECK(frameParse()({std::string("\0\0\0\0", 4)}) == "fault");
  CHECK(frameParse()({std::string("\x7f\0\0\0", 4)}) == "fault");
  for (const auto* malformed : {"a done 1 -", "a  1 -\nx", "a over 1 -\nx", "\n", "a done\n"})
    CHECK(!platform::readReply(malformed));
  CHECK(platform::readReply("a.1 full 0 -\n")->outcome == Outcome::rejected);
  CHECK(platform::readReply("a.1 failed 0 -\n")->outcome == Outcome::error);
  CHECK(platform::writeCall("q.3", 3, 240'999'999, "c41e77d0") ==
        std::string("\0\0\0\x17", 4) + "Sq.3 3 d=240 8\nc41e77d0");
}

const std::string kList =
    R"({"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:8080","zone":"b",)"
    R"("machineType":"m2","cell":3,"lifecycle":"Terminating","weight":1.0,"startedAtMs":5}]})";

void lists() {
  const ParseFunction parse = [](const std::vector<std::string>& pieces) {
    std::string text, why;
    for (const auto& piece : pieces) text += piece;
    return platform::readNodeList(text, {"a", "b"}, why) ? "list" : why;
  };
  checkGarbageInput(kList, parse);
  std::string why;
  const auto list = platform::readNodeList(kList, {"a", "b"}, why);
  CHECK(list && list->full && list->generation == 41 && list->entries.size() == 1);
  const auto& entry = list->entries[0];
  CHECK(entry.zone == 1 && entry.cell == 3 && entry.state == ServerState::draining &&
        entry.startedAt == 5'000'000);
  auto withoutZone = kList;  // a list from a deployment without zones
  withoutZone.replace(withoutZone.find(R"("zone":"b",)"), std::string(R"("zone":"b",)").size(), "");
  CHECK(platform::readNodeList(withoutZone, {}, why));
  for (const auto& [from, to] : {std::pair<std::string, std::string>{"\"cell\":3", "\"cell\":-1"},
                                 {"Terminating", "Odd"},
                                 {"\"zone\":\"b\"", "\"zone\":3"},
                                 {"10.1.0.18:8080", "host:80"},
                                 {"\"weight\":1.0", "\"weight\":\"x\""}}) {
    auto malformed = kList;
    malformed.replace(malformed.find(from), from.size(), to);
    CHECK(!platform::readNodeList(malformed, {}, why) && why.rfind("key ", 0) == 0);
  }
}

void queries() {
  broker::Terms terms;
  terms.settings.classes = {QueryClass{.name = "wide-search"}};
  terms.settings.shards = 12;
  terms.contracts = {{"acme", 1, 0}};
  const std::string body =
      R"({"targets":[{"partition":3,"share":0.5,"est_us":9000},{"partition":9,"share":0.5}],"query":"c4"})";
  const auto status = [&](const std::string& target, const std::string& fields, const std::string& text) {
    const std::string message = "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
    Parser parser(MessageKind::request);
    std::string input = message;
    CHECK(parser.parse(input) == Parser::Progress::complete);
    const auto read = platform::readQuery(parser.head(input), text, terms);
    if (const auto* fault = std::get_if<http::Fault>(&read)) return fault->status;
    CHECK(std::get<broker::Request>(read).parts.size() == 2);
    CHECK(std::get<broker::Request>(read).query == "c4");
    return 200;
  };
  const std::string good = "Req-Id: q\r\nReq-Kind: wide-search\r\nReq-Owner: acme\r\nReq-Deadline: 0.480\r\n";
  const auto with = [&](const std::string& from, const std::string& to) {
    auto fields = good;
    return fields.replace(fields.find(from), from.size(), to);
  };
  CHECK(status("/wide-search", good, body) == 200);
  CHECK(status("/other", good, body) == 404);
  CHECK(status("/wide-search", with("acme", "nobody"), body) == 400);
  for (const auto* deadline : {"", "-1", "nan", "inf", "1e99", "0", "1s"})
    CHECK(status("/wide-search", with("0.480", deadline), body) == 400);
  for (const auto* malformed :
       {"", "[]", "{}", R"({"query":"x"})", R"({"query":"x","targets":[{"partition":12,"share":1}]})",
        R"({"query":"x","targets":[3]})", R"({"query":7,"targets":[]})"})
    CHECK(status("/wide-search", good, malformed) == 400);
}

void features() {
  const std::string page =
      R"({"type":"FeatureCollection","links":[{"rel":"next","href":"/x?offset=2"}],"features":[)"
      R"({"type":"Feature","id":"a","properties":{"n":1.10}},{"type":"Feature","id":"b"}]})";
  const auto read = features::readPage(page);
  CHECK(read && read->next == "/x?offset=2" && read->features.size() == 2);
  CHECK(read->features[0].find("1.10") != std::string::npos);  // numbers stay as the server wrote them
  CHECK(features::split(features::join(read->features)) == read->features);
  CHECK(features::split("").empty());
  for (std::size_t cut = 0; cut + 1 < page.size(); ++cut) CHECK(!features::readPage(page.substr(0, cut)));
  checkGarbageInput(page, [](const std::vector<std::string>& pieces) {
    std::string text;
    for (const auto& piece : pieces) text += piece;
    return std::string(features::readPage(text) ? "page" : "none");
  });
  using features::resolveNext;
  const auto next = [](std::string_view href) {
    return resolveNext(href, "/c/items?limit=2", "1.2.3.4:80").value_or("-");
  };
  CHECK(next("http://1.2.3.4:80/c/items?offset=2") == "/c/items?offset=2");
  CHECK(next("/d?x#f") == "/d?x" && next("?offset=2") == "/c/items?offset=2" && next("more") == "/c/more");
  for (const auto* malformed :
       {"http://1.2.3.5:80/", "https://1.2.3.4:80/", "//other/x", "", "/a b", "/a\r\nX: y"})
    CHECK(next(malformed) == "-");
  for (const auto* malformed :
       {"bbox=1,2,3", "bbox=1,2,3,x", "bbox=1,50,3,40", "bbox=999,1,2,3", "limit=0", "limit=-1", "limit=x",
        "colour=red", "limit=1&limit=2", "offset=x", "datetime=soon", "%zz=1", "bbox="})
    CHECK(std::holds_alternative<std::string>(features::readItemsQuery(malformed)));
  const auto good =
      features::readItemsQuery("bbox=36.6,-1.5,37.1,-1.1&limit=99999&datetime=2026-01-01T00:00:00Z/..");
  CHECK(std::get<features::ItemsQuery>(good).limit == features::ItemsQuery::kMaxLimit);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::httpMessages();
  topazweir::test::httpFaults();
  topazweir::test::frames();
  topazweir::test::lists();
  topazweir::test::queries();
  topazweir::test::features();
}

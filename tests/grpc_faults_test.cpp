// Faults of servers and clients of the gRPC service, produced by scripted HTTP/2 peers. Guards against calls
// that end twice or never, end with a status that does not match the fault, run more often than allowed, or
// reach a draining server, and against memory that an abusive or slow client can occupy.
#include <fstream>
#include <random>

#include "grpc_harness.hpp"
#include "h2_peer.hpp"

namespace topazweir::test {
namespace {

using ::grpc::StatusCode;
using Clock = std::chrono::steady_clock;

std::string operatorFile(const std::vector<std::string>& backends, const std::string& route,
                         const std::string& more = "") {
  std::string out = "grpc {\n listen = \"127.0.0.1:0\"\n" + more + "\n pool \"p\" {\n";
  for (const auto& b : backends) out += "backend \"" + b + "\" {}\n";
  const std::string deadline = route.find("deadlineMs") == std::string::npos ? " deadlineMs = 3000\n" : "";
  return out + "}\n route \"all\" {\n pool = \"p\"\n" + deadline + route + "\n}\n}\n";
}

// One backend with one fault, for calls that may not be repeated: the status that the client gets, and how
// many times the backend received the call.
void singleBackendFaults() {
  struct Row {
    Fault fault;
    StatusCode status;
    int starts;  // how many times the backend received the call: several only if it cannot have run
  };
  const std::vector<Row> rows = {
      {Fault::none, StatusCode::OK, 1},
      {Fault::trailersOnly, StatusCode::UNAVAILABLE, 1},
      {Fault::pushback, StatusCode::UNAVAILABLE, 1},
      {Fault::noRetry, StatusCode::UNAVAILABLE, 1},
      {Fault::cutBeforeTrailers, StatusCode::UNAVAILABLE, 1},
      {Fault::cutMidMessage, StatusCode::UNAVAILABLE, 1},
      {Fault::cutMidTrailers, StatusCode::UNAVAILABLE, 1},
      {Fault::noStatus, StatusCode::INTERNAL, 1},
      {Fault::trailersWithoutEnd, StatusCode::INTERNAL, 1},
      {Fault::refused, StatusCode::UNAVAILABLE, 2},
      {Fault::resetInternal, StatusCode::INTERNAL, 1},
      {Fault::resetAfterHead, StatusCode::INTERNAL, 1},
      {Fault::dropAfterHead, StatusCode::UNAVAILABLE, 1},
      {Fault::unresponsive, StatusCode::DEADLINE_EXCEEDED, 1},
      {Fault::unresponsiveAfterHead, StatusCode::DEADLINE_EXCEEDED, 1},
      {Fault::http503, StatusCode::UNAVAILABLE, 1},
      {Fault::notGrpc, StatusCode::INTERNAL, 1},
      {Fault::closeAtOnce, StatusCode::UNAVAILABLE, 1},
  };
  for (const auto& row : rows) {
    ScriptedBackend backend([&](int) { return row.fault; });
    Broker broker(operatorFile({backend.address}, "effect = \"unsafe\"\n aimMs = 300\n deadlineMs = 1200"));
    Client client(broker.address);
    Call call("/t.T/Echo", {"m"});
    call.with("x-id", "1").run(*client.stub);
    const int starts = backend.starts()["1"];
    if (call.status.error_code() != row.status)
      std::fprintf(stderr, "fault %d: status %d begun %d\n", static_cast<int>(row.fault),
                   call.status.error_code(), starts);
    CHECK(call.status.error_code() == row.status && call.ends == 1);
    // Refused streams were not processed: they are retried within the limits of attempts and time.
    CHECK(row.starts == 1 ? starts == 1 : starts >= 2 && starts <= 3);
    CHECK(call.duration < 3000 * kMs);
    CHECK(eventually([&] { return broker.counter("open") == 0 && broker.counter("backend_streams") == 0; }));
    const auto counted = broker.counter("answered") + broker.counter("refused") + broker.counter("failed");
    CHECK(counted == 1 && broker.counter("taken") == 1);
    if (row.fault == Fault::unresponsive)
      CHECK(eventually([&] { return backend.resets == 1; }));  // the attempt was cancelled
  }
}

// A faulty and a healthy backend: a safe call succeeds unless part of a response has been sent to the client.
void safeCallsAreRetriedElsewhere() {
  for (const Fault fault : {Fault::trailersOnly, Fault::refused, Fault::resetInternal, Fault::http503,
                            Fault::notGrpc, Fault::closeAtOnce, Fault::goaway}) {
    ScriptedBackend bad([&](int) { return fault; }), good([](int) { return Fault::none; });
    Broker broker(operatorFile({bad.address, good.address}, "effect = \"safe\"\n aimMs = 500"));
    Client client(broker.address);
    for (int i = 0; i < 20; ++i) {
      Call call("/t.T/Echo", {"m" + std::to_string(i)});
      call.run(*client.stub);
      if (!call.status.ok())
        std::fprintf(stderr, "fault %d: %d %s\n", static_cast<int>(fault), call.status.error_code(),
                     call.status.error_message().c_str());
      CHECK(call.status.ok() && call.received == std::vector<std::string>{"m" + std::to_string(i)});
    }
  }
  // An unresponsive backend costs the time of one attempt, no more.
  ScriptedBackend unresponsive([](int) { return Fault::unresponsive; }),
      good([](int) { return Fault::none; });
  Broker broker(operatorFile({unresponsive.address, good.address},
                             "effect = \"safe\"\n attemptMs = 250\n aimMs = 500"));
  Client client(broker.address);
  for (int i = 0; i < 8; ++i) {
    Call call("/t.T/Echo", {"m"});
    call.run(*client.stub);
    CHECK(call.status.ok() && call.duration < 2500 * kMs);
  }
}

void retryPushback() {
  std::atomic<int> first{0};
  ScriptedBackend backend([&](int call) { return call == 0 ? Fault::pushback : Fault::none; });
  Broker broker(operatorFile({backend.address}, "effect = \"safe\"\n aimMs = 200"));
  Client client(broker.address);
  Call call("/t.T/Echo", {"m"});
  call.run(*client.stub);
  CHECK(call.status.ok());
  const auto at = backend.arrivals();
  CHECK(at.size() == 2 && at[1] - at[0] >= std::chrono::milliseconds(195));
  ScriptedBackend never([](int) { return Fault::noRetry; });
  Broker other(operatorFile({never.address}, "effect = \"safe\""));
  Client second(other.address);
  Call stopped("/t.T/Echo", {"m"});
  stopped.run(*second.stub);
  CHECK(stopped.status.error_code() == StatusCode::UNAVAILABLE && stopped.status.error_message() == "never");
  CHECK(stopped.trailer("grpc-retry-pushback-ms") == "-1" && never.calls == 1);
}

// A backend whose listen backlog is full, so that no connection is established: calls that only waited for
// one cannot have run. Each is refused, with retry advice.
void connectionsNeverEstablished() {
  Poco::Net::ServerSocket fullListener(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  std::vector<Poco::Net::StreamSocket> queue(4);
  for (auto& waiting : queue) waiting.connectNB(fullListener.address());
  for (const char* effect : {"safe", "unsafe"}) {
    Broker broker(
        operatorFile({fullListener.address().toString()}, "effect = \"" + std::string(effect) + "\""));
    Client client(broker.address);
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = 0; i < 30; ++i) {
      calls.push_back(std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{"m"}));
      if (i % 2 > 0) calls.back()->keepOpen();
      calls.back()->start(*client.stub);
    }
    for (auto& call : calls) {
      call->wait();
      CHECK(call->status.error_code() == StatusCode::UNAVAILABLE && call->ends == 1);
      CHECK(!call->trailer("grpc-retry-pushback-ms").empty());
    }
    CHECK(broker.counter("refused") == calls.size() && broker.counter("failed") == 0);
  }
}

constexpr auto kWindow = std::chrono::milliseconds(400);  // keyedMs of the routes below
constexpr auto kWindowSlack = std::chrono::milliseconds(50);

// The routes of the next two cases: keyed moves, safe reports, and the pool's first keys.
std::string keyedOperatorFile(const std::string& pool) {
  return "grpc {\n listen = \"127.0.0.1:0\"\n connectTimeoutMs = 20000\n windowBytes = 16000000\n pool \"p\" "
         "{\n connections = 1\n" +
         pool +
         "}\n route \"moves\" {\n service = \"t.Moves\"\n pool = \"p\"\n effect = \"keyed\"\n keyedMs = 400\n"
         " aimMs = 5000\n deadlineMs = 15000\n}\n"
         " route \"reports\" {\n service = \"t.Reports\"\n pool = \"p\"\n effect = \"safe\"\n"
         " aimMs = 10000\n deadlineMs = 20000\n}\n}\n";
}

// Guards against a duplicate: the retry of a keyed call that waits for a free stream was sent when one became
// free, after the backends had forgotten the first attempt. Now the call ends with its window.
void queuedRetriesKeepTheirWindow() {
  // Each backend takes one call at a time. A report gets no response; the first move is reset.
  std::atomic<bool> reporting{true};
  const auto choose = [&](int) { return reporting ? Fault::unresponsive : Fault::resetInternal; };
  ScriptedBackend a(choose), b(choose);
  const std::vector<ScriptedBackend*> backends = {&a, &b};
  Broker broker(keyedOperatorFile("streams = 1\n backend \"" + a.address + "\" {}\n backend \"" + b.address +
                                  "\" {}\n"));
  Client client(broker.address);
  Call report("/t.Reports/Echo", {"m"}), move("/t.Moves/Echo", {"m"});
  report.with("x-id", "report").start(*client.stub);
  CHECK(eventually([&] { return a.calls + b.calls == 1; }));
  reporting = false;
  move.with("x-id", "move").start(*client.stub);
  std::optional<Clock::time_point> first;
  CHECK(eventually([&] {
    for (auto* backend : backends)
      if (const auto all = backend->arrivalsById(); all.count("move") > 0) first = all.at("move").front();
    return first.has_value();
  }));
  std::this_thread::sleep_until(*first + kWindow + kWindowSlack);
  report.cancel();  // frees the stream
  report.wait();
  move.wait();
  CHECK(move.status.error_code() == StatusCode::INTERNAL && move.duration < 5000 * kMs);
  Call later("/t.Reports/Echo", {"m"});  // served by the stream that a waiting retry would have taken
  reporting = true;
  later.with("x-id", "later").start(*client.stub);
  CHECK(eventually([&] { return a.starts().count("later") + b.starts().count("later") == 1; }));
  for (auto* backend : backends) {
    auto arrivals = backend->arrivalsById();
    for (const auto at : arrivals["move"]) CHECK(at - *first <= kWindow + kWindowSlack);
  }
  CHECK(broker.counter("expired_attempts") == 1 && broker.counter("backend_streams") == 1);
  later.cancel();
  later.wait();
}

// The same for a retry that waits for its connection to be established.
void connectingRetriesKeepTheirWindow() {
  Poco::Net::ServerSocket full(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  std::vector<Poco::Net::StreamSocket> fillers(4);
  for (auto& filler : fillers) filler.connectNB(full.address());
  ScriptedBackend resets([](int) { return Fault::resetInternal; });
  const auto file = [&](const std::string& stateOfFull) {
    return keyedOperatorFile("backend \"" + resets.address + "\" {}\n backend \"" +
                             full.address().toString() + "\" { state = \"" + stateOfFull + "\" }\n");
  };
  Broker broker(file("draining"));
  Client client(broker.address);
  Call known("/t.Moves/Echo", {"m"});  // the module has learned of a fault at the backend that resets
  known.run(*client.stub);
  broker.reload(file("ready"));
  std::vector<std::unique_ptr<Call>> moves;
  for (int i = 0; i < 10; ++i) {
    moves.push_back(std::make_unique<Call>("/t.Moves/Echo", std::vector<std::string>{"m"}));
    moves.back()->with("x-id", std::to_string(i)).start(*client.stub);
  }
  std::this_thread::sleep_for(kWindow + kWindowSlack);
  std::vector<Poco::Net::StreamSocket> accepted;
  std::unique_ptr<RawConnection> established;
  while (!established) {
    CHECK(full.poll(Poco::Timespan(20, 0), Poco::Net::Socket::SELECT_READ));
    accepted.push_back(full.acceptConnection());
    const auto peer = accepted.back().peerAddress();
    const bool filler = std::any_of(fillers.begin(), fillers.end(),
                                    [&](const auto& socket) { return socket.address() == peer; });
    if (!filler) established = std::make_unique<RawConnection>(::dup(accepted.back().impl()->sockfd()));
  }
  established->isServer = true;
  const auto starts = resets.starts();
  while (const auto frame = established->readFrame(200)) {
    if (frame->type != kHeadersFrame) continue;
    const auto head = established->decodeHeaders(frame->payload);
    const std::string id(calls::find(head, "x-id").value_or(""));
    // A first attempt may come late, a retry may not.
    CHECK(starts.count(id) == 0);
  }
  CHECK(broker.counter("expired_attempts") > 0);
  established.reset();
  accepted.clear();
  for (auto& move : moves) {
    move->wait();
    CHECK(move->ends == 1 && !move->status.ok());
  }
}

// The same for a retry whose connection is established, but whose backend does not read: an upload has filled
// the sockets on the way. Up to `unwritten` bytes of it wait in the broker: below what a session serialises
// ahead the head of a retry is behind them in the output already, above it still waits in the session.
void retriesBehindUnreadUploadKeepTheirWindow(std::uint64_t unwritten) {
  constexpr std::size_t kMessageBytes = 60'000;
  constexpr int kMoveDeadlineMs = 3000;
  constexpr auto kSettleTime = std::chrono::milliseconds(50);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  ScriptedBackend resets([](int) { return Fault::resetInternal; });
  const auto file = [&](const std::string& stateOfResets) {
    return keyedOperatorFile("backend \"" + resets.address + "\" { state = \"" + stateOfResets +
                             "\" }\n backend \"" + listener.address().toString() + "\" {}\n");
  };
  Broker broker(file("draining"));
  RawClient uploader(broker.address);
  CHECK(uploader.connection.awaitFrame(kSettingsFrame, 5000).has_value());
  uploader.connection.send(encodeFrame(kSettingsFrame, kAckFlag, 0));  // opens the wider window
  auto head = RawClient::head("/t.Reports/Sum");
  uploader.connection.send(uploader.connection.headersFrame(1, head, false));
  auto socket = listener.acceptConnection();
  RawConnection deaf(::dup(socket.impl()->sockfd()));
  deaf.isServer = true;
  const std::string widestWindow = std::string("\x00\x04", 2) + bigEndian(0x7fffffff);
  deaf.send(encodeFrame(kSettingsFrame, 0, 0, widestWindow) +
            encodeFrame(kWindowUpdateFrame, 0, 0, bigEndian(0x7fff0000 - 65'535)));
  const std::string message = grpcMessage(std::string(kMessageBytes, 'u'));
  const auto isFull = [&] { return broker.counter("backend_unwritten_bytes") >= unwritten; };
  const auto staysFull = [&] {
    if (!isFull()) return false;
    std::this_thread::sleep_for(kSettleTime);  // what is on its way may still make room
    return isFull();
  };
  while (!staysFull()) {
    for (std::size_t at = 0; at < message.size(); at += kMaxFrameBytes)
      CHECK(uploader.connection.send(encodeFrame(kDataFrame, 0, 1, message.substr(at, kMaxFrameBytes))));
  }
  broker.reload(file("ready"));
  Client client(broker.address);
  std::vector<std::unique_ptr<Call>> moves;
  for (int i = 0; i < 10; ++i) {
    moves.push_back(std::make_unique<Call>("/t.Moves/Echo", std::vector<std::string>{"m"}, kMoveDeadlineMs));
    moves.back()->with("x-id", std::to_string(i)).start(*client.stub);
  }
  CHECK(eventually([&] { return resets.calls > 0; }));
  std::this_thread::sleep_for(kWindow + kWindowSlack);
  const auto starts = resets.starts();
  while (const auto frame = deaf.readFrame(500)) {
    if (frame->type != kHeadersFrame) continue;
    const auto fields = deaf.decodeHeaders(frame->payload);
    CHECK(starts.count(std::string(calls::find(fields, "x-id").value_or(""))) == 0);
  }
  deaf.close();
  socket.close();
  for (auto& move : moves) {
    move->wait();
    CHECK(move->ends == 1 && !move->status.ok());
  }
}

// A GOAWAY with calls above and below its last stream id: those below succeed, those above are retried
// elsewhere.
void goawayDuringCalls() {
  ScriptedBackend leaving([](int) { return Fault::goaway; }), good([](int) { return Fault::none; });
  Broker broker(operatorFile({leaving.address, good.address}, "effect = \"unsafe\"\n aimMs = 500"));
  Client client(broker.address);
  for (int round = 0; round < 5; ++round) {
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = 0; i < 20; ++i) {
      calls.push_back(std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{"m"}));
      calls.back()->with("x-id", std::to_string(round * 100 + i)).start(*client.stub);
    }
    for (auto& call : calls) {
      call->wait();
      CHECK(call->status.ok() && call->ends == 1);
    }
  }
  CHECK(broker.counter("backend_goaways") >= 1);
}

// Half of the backends fail at the same time, with calls open, and recover.
void halfOfBackendsFail() {
  std::atomic<bool> failing{false};
  const auto chooseFault = [&](int) { return failing ? Fault::closeAtOnce : Fault::none; };
  ScriptedBackend a(chooseFault), b(chooseFault), c([](int) { return Fault::none; }),
      d([](int) { return Fault::none; });
  Broker broker(operatorFile({a.address, b.address, c.address, d.address},
                             "effect = \"safe\"\n aimMs = 500\n attempts = 4"));
  Client client(broker.address);
  int good = 0;
  for (int round = 0; round < 30; ++round) {
    failing = round >= 10 && round < 20;
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = 0; i < 10; ++i) {
      calls.push_back(std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{"m"}));
      calls.back()->start(*client.stub);
    }
    for (auto& call : calls) {
      call->wait();
      CHECK(call->ends == 1);
      good += call->status.ok() ? 1 : 0;
    }
  }
  CHECK(good >= 285);
  // Retries stay within their budget: no retry storm during the failure.
  CHECK(broker.counter("sent") <= 4 * 300 && broker.counter("further_attempts") <= 300);
}

// The error code of the next GOAWAY; 0: none within 20 s.
std::uint32_t goawayCode(RawClient& raw) {
  const auto f = raw.connection.awaitFrame(kGoawayFrame, 20'000);
  if (!f || f->payload.size() < 8) return 0;
  const auto byte = [&](std::size_t i) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(f->payload[i]));
  };
  return byte(4) << 24 | byte(5) << 16 | byte(6) << 8 | byte(7);
}

// AddressSanitizer keeps freed memory for a while: its build is checked for the order of magnitude only.
#if defined(__SANITIZE_ADDRESS__)
constexpr long kMemorySlackFactor = 10;
#else
constexpr long kMemorySlackFactor = 1;
#endif

// Resident memory of this process, in KiB.
long residentKb() {
  std::ifstream status("/proc/self/statm");
  long total = 0, resident = 0;
  status >> total >> resident;
  return resident * 4;
}

// Abusive clients: their connection ends with ENHANCE_YOUR_CALM, memory stays bounded, other clients are
// served.
void abusiveClients() {
  Server server;
  Broker broker(operatorFile({server.address}, "effect = \"safe\"\n messageBytes = 100000000",
                             "bufferBytes = 4000000"));
  Client other(broker.address);
  const auto expectOthersServed = [&] {
    Call call("/t.T/Echo", {"still here"});
    call.run(*other.stub);
    CHECK(call.status.ok());
  };
  expectOthersServed();
  std::uint64_t seen = 0;
  const auto expectTerminated = [&](RawClient& raw) {
    CHECK(goawayCode(raw) == kEnhanceYourCalm);
    CHECK(broker.counter("floods") == ++seen);
    expectOthersServed();
  };
  {  // rapid reset
    RawClient raw(broker.address);
    for (int i = 0; i < 3000; ++i)
      if (!raw.connection.send(raw.connection.headersFrame(2 * i + 1, RawClient::head(), false) +
                               encodeFrame(kResetFrame, 0, 2 * i + 1, bigEndian(kCancel))))
        break;
    expectTerminated(raw);
  }
  {  // SETTINGS
    RawClient raw(broker.address);
    for (int i = 0; i < 2000; ++i)
      if (!raw.connection.send(encodeFrame(kSettingsFrame, 0, 0))) break;
    expectTerminated(raw);
  }
  {  // PING
    RawClient raw(broker.address);
    for (int i = 0; i < 2000; ++i)
      if (!raw.connection.send(encodeFrame(kPingFrame, 0, 0, "12345678"))) break;
    expectTerminated(raw);
  }
  {  // empty DATA
    RawClient raw(broker.address);
    raw.connection.send(raw.connection.headersFrame(1, RawClient::head("/t.T/Hang"), false));
    for (int i = 0; i < 3000; ++i)
      if (!raw.connection.send(encodeFrame(kDataFrame, 0, 1))) break;
    expectTerminated(raw);
  }
  {  // an HPACK bomb: a field of 3,000 bytes in the dynamic table, referenced many times by one byte each
    RawClient raw(broker.address);
    auto head = RawClient::head();
    std::string block = raw.connection.encodeHeaders(head);
    block += std::string("\x40\x01x", 3) + "\x7f" + std::string("\xb9\x16", 2) +
             std::string(3000, 'b');  // a literal of 127 + 2873 bytes
    const auto before = residentKb();
    raw.connection.send(encodeFrame(kHeadersFrame, kEndHeadersFlag, 1, block + std::string(12'000, '\xbe')));
    expectTerminated(raw);
    CHECK(residentKb() - before < 20'000 * kMemorySlackFactor);
  }
  {  // endless CONTINUATION frames: the codec stops after a few
    RawClient raw(broker.address);
    raw.connection.send(encodeFrame(kHeadersFrame, 0, 1, raw.connection.encodeHeaders(RawClient::head())));
    bool open = true;
    for (int i = 0; i < 5000 && open; ++i)
      open = raw.connection.send(encodeFrame(kContinuationFrame, 0, 1, std::string("\x00\x01y\x01z", 5)));
    expectTerminated(raw);
  }
  {  // header fields somewhat over the limit: only this call is refused
    RawClient raw(broker.address);
    auto head = RawClient::head();
    for (int i = 0; i < 20; ++i) head.push_back({"x-long-" + std::to_string(i), std::string(1000, 'l')});
    const auto block = raw.connection.encodeHeaders(head);
    raw.connection.send(encodeFrame(kHeadersFrame, 0, 1, block.substr(0, 8000)) +
                        encodeFrame(kContinuationFrame, kEndHeadersFlag, 1, block.substr(8000)));
    const auto answer = raw.connection.awaitFrame(kHeadersFrame, 20'000);
    CHECK(answer && calls::find(raw.connection.decodeHeaders(answer->payload), ":status") == "431");
  }
  {  // not gRPC; an invalid timeout: each gets its own error
    RawClient raw(broker.address);
    raw.connection.send(raw.connection.headersFrame(
        1, {{":method", "GET"}, {":scheme", "http"}, {":path", "/"}, {":authority", "x"}}, true));
    auto answer = raw.connection.awaitFrame(kHeadersFrame, 20'000);
    CHECK(answer && calls::find(raw.connection.decodeHeaders(answer->payload), ":status") == "415");
    auto bad = RawClient::head();
    bad.push_back({"grpc-timeout", "tomorrow"});
    raw.connection.send(raw.connection.headersFrame(3, bad, true));
    answer = raw.connection.awaitFrame(kHeadersFrame, 20'000);
    CHECK(answer && calls::find(raw.connection.decodeHeaders(answer->payload), "grpc-status") == "13");
  }
  {  // garbage instead of a connection preface
    RawClient raw(broker.address);
    raw.connection.send(std::string(5000, '\xfe'));
    raw.connection.awaitFrame(99, 20'000);
    CHECK(raw.connection.ended());
  }
  {  // a client that never opens its window: what is buffered for it is bounded, and it loses its connection
     // when the buffers are full
    RawClient raw(broker.address);
    raw.connection.send(encodeFrame(kSettingsFrame, 0, 0, std::string("\x00\x04\x00\x00\x00\x00", 6)));
    const auto before = residentKb();
    for (int i = 0; i < 200; ++i) {
      auto head = RawClient::head("/t.T/Count");
      head.push_back({"x-count", "1000"});
      head.push_back({"x-size", "100000"});
      raw.connection.send(raw.connection.headersFrame(2 * i + 1, head, false) +
                          encodeFrame(kDataFrame, kEndStreamFlag, 2 * i + 1, grpcMessage("go")));
    }
    CHECK(goawayCode(raw) == kEnhanceYourCalm);
    CHECK(residentKb() - before < 60'000 * kMemorySlackFactor);
    CHECK(broker.counter("buffered_bytes_peak") < 4'000'000 + 250 * 64 * 1024);
    CHECK(eventually([&] { return broker.counter("buffered_bytes") == 0; }));
    expectOthersServed();
  }
  CHECK(eventually([&] { return broker.counter("open") == 0 && broker.counter("client_connections") == 1; }));
}

// Back-pressure: a slow reader slows its writer down, and memory stays bounded.
void backPressure() {
  Server server;
  Broker broker(operatorFile({server.address}, "deadlineMs = 60000\n messageBytes = 100000000"));
  RawClient raw(broker.address);
  auto head = RawClient::head("/t.T/Count");
  head.push_back({"x-count", "2000"});
  head.push_back({"x-size", "50000"});
  raw.connection.send(raw.connection.headersFrame(1, head, false) +
                      encodeFrame(kDataFrame, kEndStreamFlag, 1, grpcMessage("go")));
  std::size_t got = 0;
  for (int i = 0; i < 100; ++i) {  // the initial window of 64 KiB, then 1 KiB at a time
    while (const auto f = raw.connection.readFrame(5))
      if (f->type == kDataFrame) got += f->payload.size();
    raw.connection.send(encodeFrame(kWindowUpdateFrame, 0, 1, bigEndian(1024)) +
                        encodeFrame(kWindowUpdateFrame, 0, 0, bigEndian(1024)));
  }
  while (const auto f = raw.connection.readFrame(500))
    if (f->type == kDataFrame) got += f->payload.size();
  CHECK(got >= 65535 + 90 * 1024 && got <= 65535 + 100 * 1024);
  CHECK(broker.counter("buffered_bytes_peak") <= 64 * 1024 + 16 * 1024);
  raw.connection.abort();
  CHECK(eventually([&] { return broker.counter("open") == 0 && server.service.open == 0; }));
}

// Random faults of several backends, generated from a seed, with reloads that drain one backend and put it
// back into service.
void randomFaults(unsigned seed) {
  std::mt19937 random(seed);
  std::mutex mutex;
  const auto randomFault = [&](int) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (random() % 3 != 0) return Fault::none;
    auto fault = static_cast<Fault>(random() % kFaultCount);
    return fault;
  };
  std::vector<std::unique_ptr<ScriptedBackend>> backends;
  for (int i = 0; i < 4; ++i) backends.push_back(std::make_unique<ScriptedBackend>(randomFault));
  const auto hcl = [&](int draining, const char* effect) {
    std::string out = "grpc {\n listen = \"127.0.0.1:0\"\n pool \"p\" {\n";
    for (int i = 0; i < 4; ++i)
      out += "backend \"" + backends[static_cast<std::size_t>(i)]->address + "\" { state = \"" +
             (i == draining ? "draining" : "ready") + "\" }\n";
    return out +
           "}\n route \"all\" {\n pool = \"p\"\n deadlineMs = 1500\n aimMs = 300\n attempts = 4\n attemptMs "
           "= 400\n effect = \"" +
           effect + "\"\n}\n}\n";
  };
  for (const char* effect : {"safe", "unsafe"}) {
    Broker broker(hcl(-1, effect));
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 4; ++i) clients.push_back(std::make_unique<Client>(broker.address));
    std::vector<std::unique_ptr<Call>> calls;
    std::vector<std::pair<int, std::pair<Clock::time_point, Clock::time_point>>> drains;
    std::optional<std::size_t> gone;
    for (int step = 0; step < 60; ++step) {
      for (int i = 0; i < 5; ++i) {
        const auto id = std::string(effect) + std::to_string(calls.size());
        calls.push_back(std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{id}, 4000));
        calls.back()->with("x-id", id).start(*clients[random() % clients.size()]->stub);
        if (random() % 20 == 0) calls.back()->cancel();
      }
      if (step % 20 == 5) {
        const int out = static_cast<int>(random() % 4);
        broker.reload(hcl(out, effect));
        drains.push_back({out, {Clock::now() + std::chrono::milliseconds(500), {}}});
      } else if (step % 20 == 17) {
        drains.back().second.second = Clock::now();
        broker.reload(hcl(-1, effect));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (auto& call : calls) {
      call->wait();
      CHECK(call->ends == 1);
      // A call that succeeded has its complete response.
      if (call->status.ok()) CHECK(call->received.size() == 1);
      CHECK(call->received.size() <= 1);
    }
    CHECK(eventually([&] { return broker.counter("open") == 0 && broker.counter("backend_streams") == 0; }));
    CHECK(broker.counter("taken") == broker.counter("answered") + broker.counter("refused") +
                                         broker.counter("failed") + broker.counter("abandoned"));
    for (const auto& [backend, time] : drains)
      for (const auto at : backends[static_cast<std::size_t>(backend)]->arrivals())
        CHECK(at < time.first || at > time.second);
    std::map<std::string, int> starts;
    for (auto& backend : backends)
      for (const auto& [id, n] : backend->starts()) starts[id] += n;
    for (const auto& [id, n] : starts) CHECK(n <= 4);
    CHECK(eventually([&] { return broker.counter("buffered_bytes") == 0; }));
  }
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  singleBackendFaults();
  safeCallsAreRetriedElsewhere();
  connectionsNeverEstablished();
  retryPushback();
  queuedRetriesKeepTheirWindow();
  connectingRetriesKeepTheirWindow();
  for (const std::uint64_t unwritten : {1, 256 * 1024}) retriesBehindUnreadUploadKeepTheirWindow(unwritten);
  goawayDuringCalls();
  halfOfBackendsFail();
  abusiveClients();
  backPressure();
  randomFaults(1);
  randomFaults(2);
}

// Measures the gRPC front: compares calls made directly to a fake backend with calls through a broker in its
// own process. An experiment file gives the cases and the claims. Exit status: 0 if all claims hold, 1 if one
// does not, 2 if the file is invalid.
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include "config/config.hpp"
#include "config/reader.hpp"
#include "lab/fake_grpc.hpp"
#include "lab/fake_server.hpp"

namespace {

using namespace topazweir;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr Nanos kStopCheckInterval = 20 * kMs;
constexpr int kMaxClients = 4;                    // connections of a closed loop
constexpr Nanos kClosedLoopGrace = 30 * kSecond;  // for calls still open at the end
constexpr Nanos kPacingInterval = 5 * kMs;
constexpr std::int32_t kReaderWindowBytes = 1024 * 1024;
constexpr int kStreamsPerSession = 1000;
constexpr Nanos kIdleOpenTime = 8 * kSecond;     // for all idle streams to open
constexpr Nanos kIdleMeasureTime = 2 * kSecond;  // over which idle CPU time is measured
constexpr useconds_t kBrokerStartTimeUs = 300'000;
constexpr int kBrokerStopChecks = 200;  // then it is killed
constexpr useconds_t kBrokerStopCheckUs = 20'000;
constexpr std::uint64_t kBytesPerMib = 1048576;

// A fake backend with an event loop on its own thread.
class BackendThread {
 public:
  BackendThread()
      : thread_([this] {
          net::Loop loop;
          lab::FakeGrpcServer server(loop, "load");
          address_.set_value(server.address());
          std::function<void()> checkStop = [&] {
            stop_ ? loop.stop() : static_cast<void>(loop.after(kStopCheckInterval, checkStop));
          };
          checkStop();
          loop.run();
        }) {
    address = address_.get_future().get();
  }
  ~BackendThread() {
    stop_ = true;
    thread_.join();
  }
  std::string address;

 private:
  std::promise<std::string> address_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// The broker program in its own process, with one gRPC pool and a route for all calls.
class BrokerProcess {
 public:
  BrokerProcess(const std::string& program, const std::string& backend) : address(lab::freeAddress()) {
    file_ = fmt::format("grpc-load.{}.hcl", ::getpid());
    std::ofstream(file_) << fmt::format(
        "grpc {{\n listen = \"{}\"\n streams = 2000\n pool \"p\" {{\n connections = 16\n streams = 1000\n "
        "backend \"{}\" {{}}\n}}\n"
        "route \"all\" {{\n pool = \"p\"\n effect = \"safe\"\n deadlineMs = 600000\n aimMs = 10000\n lateMs "
        "= 1000\n messageBytes = 100000000\n}}\n}}\n",
        address, backend);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::unsetenv("NODE_CONFIG");
      const int nullDevice = ::open("/dev/null", O_WRONLY);
      ::dup2(nullDevice, 2);
      ::execl(program.c_str(), program.c_str(), "run", "--operator", file_.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    ::usleep(kBrokerStartTimeUs);
  }
  ~BrokerProcess() {
    ::kill(pid_, SIGTERM);
    int status = 0;
    for (int i = 0; i < kBrokerStopChecks && ::waitpid(pid_, &status, WNOHANG) == 0; ++i)
      ::usleep(kBrokerStopCheckUs);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status, 0);
    ::unlink(file_.c_str());
  }
  // CPU time in user and kernel mode so far.
  double cpuSeconds() const {
    std::ifstream in(fmt::format("/proc/{}/stat", pid_));
    std::string word;
    double ticks = 0;  // fields 14 (utime) and 15 (stime)
    for (int field = 1; field <= 15 && in >> word; ++field)
      if (field >= 14) ticks += std::stod(word);
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  // Resident memory in MiB; `key` is a line of /proc/<pid>/status.
  double residentMb(const char* key = "VmRSS:") const {
    std::ifstream in(fmt::format("/proc/{}/status", pid_));
    std::string word;
    while (in >> word)
      if (word == key && in >> word) return std::stod(word) / 1024;
    return 0;
  }
  std::string address;

 private:
  std::string file_;
  pid_t pid_ = -1;
};

struct Figures {
  double perSecond = 0;
  double p50 = 0;  // latencies in microseconds
  double p99 = 0;
  double p999 = 0;
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
};

// Keeps `inFlight` calls outstanding over up to kMaxClients connections: each response is followed by the
// next call. Measures for `time`, after a warm-up of a fifth of it.
Figures closedLoop(const std::string& address, int inFlight, std::size_t bytes, Nanos time) {
  net::Loop loop;
  std::vector<std::unique_ptr<lab::FakeGrpcClient>> clients;
  for (int i = 0; i < std::min(inFlight, kMaxClients); ++i)
    clients.push_back(std::make_unique<lab::FakeGrpcClient>(loop, address));
  const std::string body(bytes, 'b');
  std::vector<Nanos> latencies;
  latencies.reserve(1 << 20);
  Figures out;
  const Nanos measureFrom = loop.now() + time / 5;
  const Nanos end = measureFrom + time;
  int outstanding = 0;
  std::function<void(std::size_t)> next = [&](std::size_t client) {
    ++outstanding;
    clients[client]->call("/lab.Load/Echo", body, {}, [&, client](const lab::FakeGrpcClient::Reply& reply) {
      --outstanding;
      const Nanos now = loop.now();
      if (reply.status != 0 || reply.body.size() != bytes) ++out.failed;
      if (now >= measureFrom && now < end) latencies.push_back(reply.took);
      if (now < end) return next(client);
      if (outstanding == 0) loop.stop();
    });
  };
  for (int i = 0; i < inFlight; ++i) next(static_cast<std::size_t>(i) % clients.size());
  loop.after(time * 2 + kClosedLoopGrace, [&] { loop.stop(); });
  loop.run();
  std::sort(latencies.begin(), latencies.end());
  const auto quantileUs = [&](double q) {
    return latencies.empty()
               ? 0.0
               : static_cast<double>(
                     latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))]) /
                     1e3;
  };
  out.calls = latencies.size();
  out.perSecond = static_cast<double>(latencies.size()) / (static_cast<double>(time) / 1e9);
  out.p50 = quantileUs(0.5);
  out.p99 = quantileUs(0.99);
  out.p999 = quantileUs(0.999);
  return out;
}

// Reads one response stream of `bytes` at `pace` bytes per second (0: as fast as it arrives), then stops the
// loop.
class Reader : http2::Session::Handler {
 public:
  Reader(net::Loop& loop, const std::string& address, std::uint64_t bytes, double pace)
      : loop_(loop), pace_(pace) {
    http2::Limits limits;
    limits.window = kReaderWindowBytes;
    session_ = http2::Session::connect(loop, Poco::Net::SocketAddress(address), kSecond, limits, *this);
    stream_ = session_->request({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":path", "/lab.Load/Stream"},
                                 {":authority", "x"},
                                 {"content-type", "application/grpc"},
                                 {"te", "trailers"},
                                 {"x-bytes", std::to_string(bytes)}},
                                true);
    startedAt_ = loop.now();
    if (pace > 0) consumeDue();
  }
  std::uint64_t received = 0;  // bytes
  bool succeeded = false;      // the stream ended with grpc-status 0
  Nanos took = 0;

 private:
  // Returns flow-control credit, as far as the pace allows by now.
  void consumeDue() {
    const auto due = static_cast<std::uint64_t>(static_cast<double>(loop_.now() - startedAt_) / 1e9 * pace_);
    const auto bytes = std::min(received, due) - std::min(consumed_, std::min(received, due));
    consumed_ += bytes;
    session_->consume(stream_, static_cast<std::size_t>(bytes));
    if (took == 0) loop_.after(kPacingInterval, [this] { consumeDue(); });
  }
  void onHead(http2::Session&, http2::StreamId, calls::Fields, bool end) override {
    if (end) finish(false);
  }
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override {
    received += bytes.size();
    if (pace_ <= 0) session.consume(id, bytes.size());
  }
  void onEnd(http2::Session&, http2::StreamId, calls::Fields trailers) override {
    finish(calls::find(trailers, "grpc-status") == "0");
  }
  void onClosed(http2::Session&, http2::StreamId, std::uint32_t) override { finish(false); }
  http2::BodyRead onReadBody(http2::Session&, http2::StreamId, char*, std::size_t) override {
    return {0, http2::BodyRead::Then::end, {}};
  }
  void onGone(http2::Session&, net::ConnectionEnd) override { finish(false); }
  void finish(bool ok) {
    if (took > 0) return;
    succeeded = ok;
    took = loop_.now() - startedAt_;
    loop_.stop();
  }
  net::Loop& loop_;
  double pace_;
  std::unique_ptr<http2::Session> session_;
  http2::StreamId stream_ = 0;
  Nanos startedAt_ = 0;
  std::uint64_t consumed_ = 0;
};

// Streams that carry one message each way and then stay open and idle, kStreamsPerSession to a connection.
class IdleStreams : http2::Session::Handler {
 public:
  IdleStreams(net::Loop& loop, const std::string& address, int streams) {
    for (int i = 0; i < streams; ++i) {
      if (i % kStreamsPerSession == 0)
        sessions_.push_back(
            http2::Session::connect(loop, Poco::Net::SocketAddress(address), kSecond, {}, *this));
      sent_[{sessions_.back().get(), sessions_.back()->request({{":method", "POST"},
                                                                {":scheme", "http"},
                                                                {":path", "/lab.Load/Open"},
                                                                {":authority", "x"},
                                                                {"content-type", "application/grpc"},
                                                                {"te", "trailers"},
                                                                {"x-open", "1"}},
                                                               false)}] = false;
    }
  }
  int answered = 0;
  int closed = 0;

 private:
  void onHead(http2::Session&, http2::StreamId, calls::Fields, bool) override {}
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override {
    ++answered;
    session.consume(id, bytes.size());
  }
  void onEnd(http2::Session&, http2::StreamId, calls::Fields) override { ++closed; }
  void onClosed(http2::Session&, http2::StreamId, std::uint32_t) override { ++closed; }
  void onGone(http2::Session&, net::ConnectionEnd) override {}
  http2::BodyRead onReadBody(http2::Session& session, http2::StreamId id, char* to, std::size_t) override {
    auto& sent = sent_[{&session, id}];
    http2::BodyRead out{0, http2::BodyRead::Then::wait, {}};
    if (std::exchange(sent, true)) return out;
    const auto message = lab::lengthPrefixed("hello");
    std::copy(message.begin(), message.end(), to);
    out.size = message.size();
    return out;
  }
  std::vector<std::unique_ptr<http2::Session>> sessions_;
  std::map<std::pair<http2::Session*, http2::StreamId>, bool> sent_;
};

// Prints each claim with its result and counts those that do not hold.
struct Claims {
  int broken = 0;
  void check(bool holds, const std::string& claim) {
    std::cout << (holds ? "claim holds: " : "CLAIM BROKEN: ") << claim << '\n';
    broken += holds ? 0 : 1;
  }
};

// Runs the cases of an experiment file; returns the number of claims that do not hold.
int measure(const std::string& program, const config::Reader& file) {
  Claims claims;
  const Nanos time = file.integer("seconds", 1, 600, 5) * kSecond;
  std::cout << fmt::format("{:>9} {:>8} {:>11} {:>11} {:>6} {:>11} {:>11} {:>11} {:>11} {:>9} {:>8}\n",
                           "in flight", "bytes", "direct/s", "broker/s", "ratio", "direct p50", "added p50",
                           "added p99", "added p99.9", "cpu us", "MB");
  for (const auto& unary : file.objects("unary")) {
    const int inFlight = static_cast<int>(unary.integer("inFlight", 1, 100'000));
    const auto bytes = static_cast<std::size_t>(unary.integer("bytes", 0, 10'000'000));
    BackendThread backend;
    const auto direct = closedLoop(backend.address, inFlight, bytes, time);
    BrokerProcess broker(program, backend.address);
    closedLoop(broker.address, 1, 10, kSecond / 4);  // opens its connection and warms its caches
    const double before = broker.cpuSeconds();
    const auto through = closedLoop(broker.address, inFlight, bytes, time);
    // The CPU time covers the warm-up too, 1.2 times the measured calls.
    const double cpu =
        (broker.cpuSeconds() - before) / 1.2 / std::max(1.0, static_cast<double>(through.calls)) * 1e6;
    const double ratio = through.perSecond / std::max(1.0, direct.perSecond);
    std::cout << fmt::format(
                     "{:>9} {:>8} {:>11.0f} {:>11.0f} {:>6.2f} {:>8.0f} us {:>8.0f} us {:>8.0f} us {:>8.0f} "
                     "us {:>9.1f} {:>8.1f}\n",
                     inFlight, bytes, direct.perSecond, through.perSecond, ratio, direct.p50,
                     through.p50 - direct.p50, through.p99 - direct.p99, through.p999 - direct.p999, cpu,
                     broker.residentMb("VmHWM:"))
              << std::flush;
    claims.check(direct.failed + through.failed == 0, "every call was answered, with its own bytes");
    if (const double minRatio = unary.number("leastRatio", 0, 1, 0); minRatio > 0)
      claims.check(
          ratio >= minRatio,
          fmt::format("throughput through the broker at least {} of direct: {:.2f}", minRatio, ratio));
  }
  if (const auto stream = file.object("stream")) {
    const auto bytes = static_cast<std::uint64_t>(stream->integer("mebibytes", 1, 100'000)) * 1024 * 1024;
    const double slower = stream->number("slower", 1, 1000, 10);
    BackendThread backend;
    net::Loop fastLoop;
    Reader fast(fastLoop, backend.address, bytes / 4, 0);
    fastLoop.run();
    const double direct = static_cast<double>(fast.received) / (static_cast<double>(fast.took) / 1e9);
    BrokerProcess broker(program, backend.address);
    net::Loop throughLoop;
    Reader through(throughLoop, broker.address, bytes / 4, 0);
    throughLoop.run();
    const double rate = static_cast<double>(through.received) / (static_cast<double>(through.took) / 1e9);
    net::Loop slowLoop;
    Reader slow(slowLoop, broker.address, bytes, rate / slower);
    slowLoop.run();
    std::cout << fmt::format(
        "stream: direct {:.0f} MiB/s, through the broker {:.0f} MiB/s ({:.2f}); {} MiB read {} times slower: "
        "{} s, "
        "resident at most {:.1f} MB\n",
        direct / static_cast<double>(kBytesPerMib), rate / static_cast<double>(kBytesPerMib), rate / direct,
        bytes / kBytesPerMib, slower, slow.took / kSecond, broker.residentMb("VmHWM:"));
    claims.check(fast.succeeded && through.succeeded && slow.succeeded && slow.received >= bytes - 65536,
                 "the streams came whole");
    const double maxMb = stream->number("mostMb", 0, 1e6, 64);
    claims.check(broker.residentMb("VmHWM:") <= maxMb, fmt::format("resident within {} MB", maxMb));
  }
  if (const auto idleCase = file.object("idle")) {
    const int streams = static_cast<int>(idleCase->integer("streams", 1, 1'000'000));
    BackendThread backend;
    BrokerProcess broker(program, backend.address);
    const double start = broker.residentMb();
    net::Loop loop;
    IdleStreams idle(loop, broker.address, streams);
    loop.after(kIdleOpenTime, [&] { loop.stop(); });
    loop.run();
    const double cpu = broker.cpuSeconds();
    constexpr double idleSeconds = static_cast<double>(kIdleMeasureTime) / 1e9;
    net::Loop rest;
    rest.after(kIdleMeasureTime, [&] { rest.stop(); });
    rest.run();
    std::cout << fmt::format(
        "idle: {} of {} streams open, resident {:.1f} MB ({:.1f} at start, {:.1f} KB a stream), {:.0f}% of a "
        "core idle\n",
        idle.answered - idle.closed, streams, broker.residentMb(), start,
        (broker.residentMb() - start) * 1024 / streams, (broker.cpuSeconds() - cpu) / idleSeconds * 100);
    claims.check(idle.answered == streams && idle.closed == 0, "all streams are open");
    const double maxMb = idleCase->number("mostMb", 0, 1e6, 150);
    claims.check(broker.residentMb() <= maxMb, fmt::format("resident within {} MB", maxMb));
  }
  return claims.broken;
}

}  // namespace

int main(int argc, char** argv) {
  std::string experiment;
  std::string program = "build/topazweir";
  CLI::App app(
      "Compares gRPC calls through topazweir with direct calls, as described by an experiment file.");
  app.add_option("EXPERIMENT", experiment, "experiments/grpc-*.hcl")->required();
  app.add_option("--program", program, "path of the topazweir program");
  CLI11_PARSE(app, argc, argv);
  try {
    const auto root = config::readHcl(config::readFile(experiment), experiment);
    const config::Reader file(root, "", experiment);
    const int broken = measure(program, file);
    file.refuseUnknown();
    return broken == 0 ? 0 : 1;
  } catch (const config::ConfigError& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}

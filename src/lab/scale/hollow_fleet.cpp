#include "lab/scale/hollow_fleet.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "fleet/streams.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr int kMaxProcesses = 200;
constexpr double kViewRecordBytes = 700;        // estimated memory of one record in a member's view
constexpr double kProcessBytes = 16e6;          // a process without members
constexpr double kExchangeBufferBytes = 400e3;  // a member's buffers for full exchanges in progress
constexpr int kAnswerTimeoutMs = 60'000;
constexpr double kAnnounceRetrySeconds = 10;

double machineMemoryBytes() {
  std::ifstream in("/proc/meminfo");
  std::string argument;
  double kilobytes = 0;
  while (in >> argument)
    if (argument == "MemTotal:") in >> kilobytes;
  return kilobytes * 1024;
}

double systemClockSeconds() {
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(time).count();
}

}  // namespace

ProcessStats& ProcessStats::operator+=(const ProcessStats& o) {
  cpuMicros += o.cpuMicros;
  maxRssKib += o.maxRssKib;
  rssKib += o.rssKib;
  minAlive = running == 0 ? o.minAlive : o.running == 0 ? minAlive : std::min(minAlive, o.minAlive);
  minCommands = running == 0     ? o.minCommands
                : o.running == 0 ? minCommands
                                 : std::min(minCommands, o.minCommands);
  running += o.running;
  maxAlive = std::max(maxAlive, o.maxAlive);
  maxCommands = std::max(maxCommands, o.maxCommands);
  sent += o.sent;
  sentBytes += o.sentBytes;
  received += o.received;
  receivedBytes += o.receivedBytes;
  unsent += o.unsent;
  malformedMessages += o.malformedMessages;
  connected += o.connected;
  accepted += o.accepted;
  droppedExchanges += o.droppedExchanges;
  streamSentBytes += o.streamSentBytes;
  streamReceivedBytes += o.streamReceivedBytes;
  maxLoopDelayMs = std::max(maxLoopDelayMs, o.maxLoopDelayMs);
  changesProposed += o.changesProposed;
  registerRequests += o.registerRequests;
  return *this;
}

ProcessStats ProcessStats::operator-(const ProcessStats& b) const {
  ProcessStats out = *this;
  out.cpuMicros -= b.cpuMicros;
  out.sent -= b.sent;
  out.sentBytes -= b.sentBytes;
  out.received -= b.received;
  out.receivedBytes -= b.receivedBytes;
  out.unsent -= b.unsent;
  out.malformedMessages -= b.malformedMessages;
  out.connected -= b.connected;
  out.accepted -= b.accepted;
  out.droppedExchanges -= b.droppedExchanges;
  out.streamSentBytes -= b.streamSentBytes;
  out.streamReceivedBytes -= b.streamReceivedBytes;
  out.changesProposed -= b.changesProposed;
  out.registerRequests -= b.registerRequests;
  return out;
}

HollowFleet::HollowFleet(const HollowOptions& options, int membersPerProcess) : options_(options) {
  checkLimits(membersPerProcess);
  ::signal(SIGPIPE, SIG_IGN);
  for (int i = 0; i < options_.voters; ++i) spawn(i, 1);
  for (int i = options_.voters; i < dedicatedProcesses(); ++i) spawn(i, 1);
  for (int k = 0; k < options_.stride; ++k) {
    const int first = dedicatedProcesses() + k,
              count = (options_.fleetSize - first + options_.stride - 1) / options_.stride;
    for (int at = 0; at < count; at += membersPerProcess)
      spawn(first + at * options_.stride, std::min(membersPerProcess, count - at));
  }
  for (auto& process : processes_) serializeCommand(process, "stat");
  for (auto& process : processes_) {
    std::istringstream in(readAnswer(process));
    double cpu = 0, most = 0;
    in >> cpu >> most >> process.baseRssKib;
  }
}

HollowFleet::~HollowFleet() {
  for (auto& process : processes_) {
    ::close(process.commandFd);
    ::close(process.answerFd);
  }
  for (auto& process : processes_)
    while (::waitpid(process.pid, nullptr, 0) < 0 && errno == EINTR) continue;
}

void HollowFleet::checkLimits(int membersPerProcess) const {
  const int others = options_.fleetSize - dedicatedProcesses(), each = others / options_.stride + 1;
  const int processes =
      dedicatedProcesses() + options_.stride * ((each + membersPerProcess - 1) / membersPerProcess);
  const double n = options_.fleetSize;
  const double memory = n * n * kViewRecordBytes + n * kExchangeBufferBytes + processes * kProcessBytes;
  const double half = machineMemoryBytes() / 2;
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  // Each member has two sockets and its exchanges: the allowed maximum at a voter, a quarter of that
  // elsewhere.
  const int exchanges = static_cast<int>(fleet::StreamExchanges::kMaxOutgoingConnections +
                                         fleet::StreamExchanges::kMaxIncomingConnections);
  const int most = std::max(membersPerProcess * (2 + exchanges / 4), 2 + 2 * exchanges) + 32;
  fmt::print(
      "uses: {} members in at most {} processes ({} alone, else up to {} each), about {:.1f} GB of at most "
      "{:.1f}, "
      "{} descriptors a process of {}\n",
      options_.fleetSize, processes, dedicatedProcesses(), membersPerProcess, memory / 1e9, half / 1e9, most,
      descriptors.rlim_cur);
  std::fflush(stdout);
  if (memory > half) throw std::runtime_error("fleet needs more than half of the machine's memory");
  if (processes + 1 > kMaxProcesses) throw std::runtime_error("fleet needs more than 200 processes");
  if (static_cast<rlim_t>(most) > descriptors.rlim_cur)
    throw std::runtime_error("a process needs more descriptors than allowed (ulimit -n)");
}

void HollowFleet::spawn(int first, int count) {
  int to[2], from[2];
  if (::pipe2(to, O_CLOEXEC) != 0 || ::pipe2(from, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe to a process of hollow members");
  std::vector<std::string> arguments{"/proc/self/exe", "hollow",
                                     "--first",        std::to_string(first),
                                     "--count",        std::to_string(count),
                                     "--stride",       std::to_string(options_.stride),
                                     "--relays",       std::to_string(options_.relays),
                                     "--change-bytes", std::to_string(options_.changeBytesPerSecond),
                                     "--members",      std::to_string(options_.fleetSize),
                                     "--voters",       std::to_string(options_.voters),
                                     "--keys",         std::to_string(options_.keys),
                                     "--port",         std::to_string(options_.port),
                                     "--period-ms",    std::to_string(options_.period / 1'000'000),
                                     "--seed",         std::to_string(options_.seed),
                                     "--state",        options_.stateDirectory};
  if (options_.votersAsSeeds) arguments.push_back("--seeded");
  std::vector<char*> pointers;
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const pid_t id = ::fork();
  if (id < 0) throw std::runtime_error("cannot fork a process of hollow members");
  if (id == 0) {
    ::dup2(to[0], STDIN_FILENO);
    ::dup2(from[1], STDOUT_FILENO);
    ::execv(pointers[0], pointers.data());
    ::_exit(127);
  }
  ::close(to[0]);
  ::close(from[1]);
  processes_.push_back({id, to[1], from[0], first, count, {}, 0});
}

void HollowFleet::serializeCommand(Process& process, const std::string& line) const {
  const auto command = line + "\n";
  for (std::size_t at = 0; at < command.size();) {
    const auto wrote = ::write(process.commandFd, command.data() + at, command.size() - at);
    if (wrote <= 0) throw std::runtime_error("a process of hollow members has exited");
    at += static_cast<std::size_t>(wrote);
  }
}

std::string HollowFleet::readAnswer(Process& process) const {
  while (true) {
    if (const auto end = process.unreadInput.find('\n'); end != std::string::npos) {
      auto line = process.unreadInput.substr(0, end);
      process.unreadInput.erase(0, end + 1);
      if (line.starts_with("failed")) throw std::runtime_error(line);
      return line;
    }
    pollfd ready{process.answerFd, POLLIN, 0};
    if (::poll(&ready, 1, kAnswerTimeoutMs) <= 0)
      throw std::runtime_error("a process of hollow members did not answer within 60 s");
    char buffer[65'536];
    const auto size = ::read(process.answerFd, buffer, sizeof buffer);
    if (size <= 0) throw std::runtime_error("a process of hollow members has exited");
    process.unreadInput.append(buffer, static_cast<std::size_t>(size));
  }
}

std::vector<std::string> HollowFleet::sendToAll(const std::string& line) {
  std::vector<std::string> out;
  for (auto& process : processes_) serializeCommand(process, line);
  for (auto& process : processes_) out.push_back(readAnswer(process));
  return out;
}

std::string HollowFleet::sendToVoter(int i, const std::string& line) {
  auto& process = processes_.at(static_cast<std::size_t>(i));
  serializeCommand(process, line);
  return readAnswer(process);
}

ProcessStats HollowFleet::sumStats(std::size_t from, std::size_t to) {
  ProcessStats out;
  for (auto i = from; i < to; ++i) serializeCommand(processes_[i], "stat");
  for (auto i = from; i < to; ++i) {
    std::istringstream in(readAnswer(processes_[i]));
    ProcessStats s;
    in >> s.cpuMicros >> s.maxRssKib >> s.rssKib >> s.running >> s.minAlive >> s.maxAlive >> s.sent >>
        s.sentBytes >> s.received >> s.receivedBytes >> s.unsent >> s.malformedMessages >> s.connected >>
        s.accepted >> s.droppedExchanges >> s.streamSentBytes >> s.streamReceivedBytes >> s.minCommands >>
        s.maxCommands >> s.maxLoopDelayMs >> s.changesProposed >> s.registerRequests;
    s.rssKib -= processes_[i].baseRssKib;
    s.maxRssKib -= processes_[i].baseRssKib;
    out += s;
  }
  return out;
}
ProcessStats HollowFleet::voterStats() { return sumStats(0, static_cast<std::size_t>(options_.voters)); }
ProcessStats HollowFleet::relayStats() {
  return sumStats(static_cast<std::size_t>(options_.voters), static_cast<std::size_t>(dedicatedProcesses()));
}
ProcessStats HollowFleet::otherStats() {
  return sumStats(static_cast<std::size_t>(options_.voters), processes_.size());
}

void HollowFleet::sleep(double seconds) const {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
double HollowFleet::unixSeconds() { return systemClockSeconds(); }

bool HollowFleet::waitUntil(double limitSeconds, const std::function<bool()>& condition) {
  const double end = unixSeconds() + limitSeconds;
  while (!condition()) {
    if (unixSeconds() >= end) return false;
    sleep(0.1);
  }
  return true;
}

void HollowFleet::start(double overSeconds) {
  startedAt_ = unixSeconds();
  startSpreadSeconds_ = overSeconds;
  sendToAll(fmt::format("start {}", static_cast<long>(overSeconds * 1000)));
}

bool HollowFleet::startAndConverge(double overSeconds, double limitSeconds) {
  start(overSeconds);
  return waitUntilConverged(limitSeconds);
}

bool HollowFleet::waitUntilConverged(double limitSeconds) {
  const auto membersAreUp = [this](bool andKnowAll) {
    auto sum = voterStats();
    sum += otherStats();
    const double n = options_.fleetSize;
    return sum.running == n && (!andKnowAll || (sum.minAlive == n && sum.maxAlive == n));
  };
  if (!waitUntil(startedAt_ + startSpreadSeconds_ - unixSeconds() + limitSeconds,
                 [&] { return membersAreUp(false); }))
    return false;
  // On a busy machine announcements may arrive late, so they are repeated to members that do not know the
  // whole fleet.
  double announcedAt = 0;
  return waitUntil(limitSeconds, [&] {
    if (membersAreUp(true)) return true;
    if (options_.announced && unixSeconds() - announcedAt > kAnnounceRetrySeconds) {
      if (announcedAt > 0) {
        auto sum = voterStats();
        sum += otherStats();
        fmt::print("told again: they know {} to {} of {}\n", sum.minAlive, sum.maxAlive, options_.fleetSize);
        std::fflush(stdout);
      }
      sendToAll("tell");
      announcedAt = unixSeconds();
    }
    return false;
  });
}

std::vector<HollowFleet::RegisterSummary> HollowFleet::registerSummaries() {
  std::vector<RegisterSummary> out;
  const auto lines = sendToAll("registers");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::istringstream in(lines[i]);
    RegisterSummary r{processes_[i].firstMember};
    in >> r.minCommands >> r.maxCommands >> r.maxAgeSeconds >> r.minFence;
    r.maxAgeSeconds /= 1000;
    for (std::string hash; in >> hash;) r.hashes.insert(hash);
    out.push_back(r);
  }
  return out;
}

HollowFleet::PeakTraffic HollowFleet::takePeakTraffic() {
  PeakTraffic out;
  const auto lines = sendToAll("metered");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::istringstream in(lines[i]);
    double sent = 0, received = 0;
    in >> sent >> received;
    const bool votes = processes_[i].firstMember < options_.voters;
    auto& most = votes ? out.voterSent : out.memberSent;
    auto& mostReceived = votes ? out.voterReceived : out.memberReceived;
    most = std::max(most, sent);
    mostReceived = std::max(mostReceived, received);
  }
  return out;
}

int HollowFleet::leader() {
  for (int i = 0; i < options_.voters; ++i)
    if (sendToVoter(i, "leads") == "1") return i;
  return -1;
}

std::vector<double> HollowFleet::failureDetectionTimes() {
  std::vector<double> out;
  for (const auto& line : sendToAll("seen")) {
    std::istringstream in(line);
    std::size_t count = 0;
    in >> count;
    for (double at = 0; in >> at;) out.push_back(at / 1000);
  }
  std::sort(out.begin(), out.end());
  return out;
}

HollowFleet::Arrivals HollowFleet::arrivals() {
  Arrivals out;
  const auto lines = sendToAll("arrivals");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    auto& into = i < static_cast<std::size_t>(options_.voters) ? out.voters : out.others;
    std::istringstream in(lines[i]);
    for (std::string argument; in >> argument && argument != "-";) {
      std::istringstream fields(argument);
      std::string field;
      std::getline(fields, field, ',');
      auto& times = into[std::stol(field)];
      while (std::getline(fields, field, ',')) times.push_back(std::stod(field) / 1000);
    }
  }
  return out;
}

}  // namespace topazweir::lab::scale

#include "lab/scale/herd.hpp"

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

constexpr int kMostProcesses = 200;
constexpr double kRecordBytes = 700;     // of one member's view of another, in memory, as estimated
constexpr double kProcessBytes = 16e6;   // of a process without members
constexpr double kMessageBytes = 400e3;  // of a member's buffers for full exchanges under way
constexpr int kAnswerMs = 60'000;
constexpr double kTellAgain = 10;  // seconds

double memoryOfMachine() {  // bytes
  std::ifstream in("/proc/meminfo");
  std::string word;
  double kilobytes = 0;
  while (in >> word)
    if (word == "MemTotal:") in >> kilobytes;
  return kilobytes * 1024;
}

double unixSeconds() {
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(time).count();
}

}  // namespace

Stat& Stat::operator+=(const Stat& o) {
  cpuMicros += o.cpuMicros, maxRss += o.maxRss, rss += o.rss;
  leastAlive = running == 0 ? o.leastAlive : o.running == 0 ? leastAlive : std::min(leastAlive, o.leastAlive);
  leastCommands = running == 0     ? o.leastCommands
                  : o.running == 0 ? leastCommands
                                   : std::min(leastCommands, o.leastCommands);
  running += o.running;
  mostAlive = std::max(mostAlive, o.mostAlive), mostCommands = std::max(mostCommands, o.mostCommands);
  sent += o.sent, sentBytes += o.sentBytes, received += o.received, receivedBytes += o.receivedBytes;
  unsent += o.unsent, brokenMessages += o.brokenMessages;
  connected += o.connected, accepted += o.accepted, leftOut += o.leftOut;
  streamSent += o.streamSent, streamReceived += o.streamReceived;
  latest = std::max(latest, o.latest), proposed += o.proposed, asked += o.asked;
  return *this;
}

// What has been spent and counted since; the rest is as it is now.
Stat Stat::operator-(const Stat& b) const {
  Stat out = *this;
  out.cpuMicros -= b.cpuMicros;
  out.sent -= b.sent, out.sentBytes -= b.sentBytes, out.received -= b.received;
  out.receivedBytes -= b.receivedBytes, out.unsent -= b.unsent, out.brokenMessages -= b.brokenMessages;
  out.connected -= b.connected, out.accepted -= b.accepted, out.leftOut -= b.leftOut;
  out.streamSent -= b.streamSent, out.streamReceived -= b.streamReceived, out.proposed -= b.proposed;
  out.asked -= b.asked;
  return out;
}

Herd::Herd(const HollowOptions& options, int perProcess) : options_(options) {
  check(perProcess);
  ::signal(SIGPIPE, SIG_IGN);
  for (int i = 0; i < options_.voters; ++i) spawn(i, 1);
  for (int i = options_.voters; i < alone(); ++i) spawn(i, 1);
  for (int k = 0; k < options_.stride; ++k) {
    const int first = alone() + k, count = (options_.members - first + options_.stride - 1) / options_.stride;
    for (int at = 0; at < count; at += perProcess)
      spawn(first + at * options_.stride, std::min(perProcess, count - at));
  }
  for (auto& process : processes_) tell(process, "stat");
  for (auto& process : processes_) {
    std::istringstream in(hear(process));
    double cpu = 0, most = 0;
    in >> cpu >> most >> process.baseRss;
  }
}

Herd::~Herd() {
  for (auto& process : processes_) {
    ::close(process.to);
    ::close(process.from);
  }
  for (auto& process : processes_)
    while (::waitpid(process.id, nullptr, 0) < 0 && errno == EINTR) continue;
}

void Herd::check(int perProcess) const {
  const int others = options_.members - alone(), each = others / options_.stride + 1;
  const int processes = alone() + options_.stride * ((each + perProcess - 1) / perProcess);
  const double n = options_.members;
  const double memory = n * n * kRecordBytes + n * kMessageBytes + processes * kProcessBytes;
  const double half = memoryOfMachine() / 2;
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  // Two sockets a member, and its exchanges: as many as are allowed at a voter, a quarter of that elsewhere.
  const int exchanges = static_cast<int>(fleet::Streams::kMostAsked + fleet::Streams::kMostAsking);
  const int most = std::max(perProcess * (2 + exchanges / 4), 2 + 2 * exchanges) + 32;
  fmt::print(
      "uses: {} members in at most {} processes ({} alone, else up to {} each), about {:.1f} GB of at most "
      "{:.1f}, "
      "{} descriptors a process of {}\n",
      options_.members, processes, alone(), perProcess, memory / 1e9, half / 1e9, most, descriptors.rlim_cur);
  std::fflush(stdout);
  if (memory > half) throw std::runtime_error("over half of the machine's memory");
  if (processes + 1 > kMostProcesses) throw std::runtime_error("over two hundred processes");
  if (static_cast<rlim_t>(most) > descriptors.rlim_cur)
    throw std::runtime_error("over the limit of descriptors (ulimit -n)");
}

void Herd::spawn(int first, int count) {
  int to[2], from[2];
  if (::pipe2(to, O_CLOEXEC) != 0 || ::pipe2(from, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  std::vector<std::string> words{"/proc/self/exe", "hollow",
                                 "--first",        std::to_string(first),
                                 "--count",        std::to_string(count),
                                 "--stride",       std::to_string(options_.stride),
                                 "--relays",       std::to_string(options_.relays),
                                 "--change-bytes", std::to_string(options_.changeBytesPerS),
                                 "--members",      std::to_string(options_.members),
                                 "--voters",       std::to_string(options_.voters),
                                 "--keys",         std::to_string(options_.keys),
                                 "--port",         std::to_string(options_.port),
                                 "--period-ms",    std::to_string(options_.period / 1'000'000),
                                 "--seed",         std::to_string(options_.seed),
                                 "--state",        options_.state};
  if (options_.seeded) words.push_back("--seeded");
  std::vector<char*> pointers;
  for (auto& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  const pid_t id = ::fork();
  if (id < 0) throw std::runtime_error("no process");
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

void Herd::tell(Process& process, const std::string& line) const {
  const auto whole = line + "\n";
  for (std::size_t at = 0; at < whole.size();) {
    const auto wrote = ::write(process.to, whole.data() + at, whole.size() - at);
    if (wrote <= 0) throw std::runtime_error("a process of hollow members has ended");
    at += static_cast<std::size_t>(wrote);
  }
}

std::string Herd::hear(Process& process) const {
  while (true) {
    if (const auto end = process.input.find('\n'); end != std::string::npos) {
      auto line = process.input.substr(0, end);
      process.input.erase(0, end + 1);
      if (line.starts_with("failed")) throw std::runtime_error(line);
      return line;
    }
    pollfd ready{process.from, POLLIN, 0};
    if (::poll(&ready, 1, kAnswerMs) <= 0) throw std::runtime_error("a process of hollow members is silent");
    char buffer[65'536];
    const auto size = ::read(process.from, buffer, sizeof buffer);
    if (size <= 0) throw std::runtime_error("a process of hollow members has ended");
    process.input.append(buffer, static_cast<std::size_t>(size));
  }
}

std::vector<std::string> Herd::all(const std::string& line) {
  std::vector<std::string> out;
  for (auto& process : processes_) tell(process, line);
  for (auto& process : processes_) out.push_back(hear(process));
  return out;
}

std::string Herd::voter(int i, const std::string& line) {
  auto& process = processes_.at(static_cast<std::size_t>(i));
  tell(process, line);
  return hear(process);
}

Stat Herd::stat(std::size_t from, std::size_t to) {
  Stat out;
  for (auto i = from; i < to; ++i) tell(processes_[i], "stat");
  for (auto i = from; i < to; ++i) {
    std::istringstream in(hear(processes_[i]));
    Stat s;
    in >> s.cpuMicros >> s.maxRss >> s.rss >> s.running >> s.leastAlive >> s.mostAlive >> s.sent >>
        s.sentBytes >> s.received >> s.receivedBytes >> s.unsent >> s.brokenMessages >> s.connected >>
        s.accepted >> s.leftOut >> s.streamSent >> s.streamReceived >> s.leastCommands >> s.mostCommands >>
        s.latest >> s.proposed >> s.asked;
    s.rss -= processes_[i].baseRss, s.maxRss -= processes_[i].baseRss;
    out += s;
  }
  return out;
}
Stat Herd::voters() { return stat(0, static_cast<std::size_t>(options_.voters)); }
Stat Herd::relays() {
  return stat(static_cast<std::size_t>(options_.voters), static_cast<std::size_t>(alone()));
}
Stat Herd::others() { return stat(static_cast<std::size_t>(options_.voters), processes_.size()); }

void Herd::sleep(double seconds) const {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
double Herd::now() { return unixSeconds(); }

bool Herd::wait(double limitSeconds, const std::function<bool()>& what) {
  const double end = unixSeconds() + limitSeconds;
  while (!what()) {
    if (unixSeconds() >= end) return false;
    sleep(0.1);
  }
  return true;
}

void Herd::begin(double overSeconds) {
  begun_ = now(), over_ = overSeconds;
  all(fmt::format("start {}", static_cast<long>(overSeconds * 1000)));
}

bool Herd::meet(double overSeconds, double limitSeconds) {
  begin(overSeconds);
  return met(limitSeconds);
}

bool Herd::met(double limitSeconds) {
  const auto everybody = [this](bool known) {
    auto sum = voters();
    sum += others();
    const double n = options_.members;
    return sum.running == n && (!known || (sum.leastAlive == n && sum.mostAlive == n));
  };
  if (!wait(begun_ + over_ - now() + limitSeconds, [&] { return everybody(false); })) return false;
  // On a busy machine some of it may be late: who does not know all is told again.
  double toldAt = 0;
  return wait(limitSeconds, [&] {
    if (everybody(true)) return true;
    if (options_.told && now() - toldAt > kTellAgain) {
      if (toldAt > 0) {
        auto sum = voters();
        sum += others();
        fmt::print("told again: they know {} to {} of {}\n", sum.leastAlive, sum.mostAlive, options_.members);
        std::fflush(stdout);
      }
      all("tell");
      toldAt = now();
    }
    return false;
  });
}

std::vector<Herd::Registers> Herd::registers() {
  std::vector<Registers> out;
  const auto lines = all("registers");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::istringstream in(lines[i]);
    Registers r{processes_[i].first};
    in >> r.least >> r.most >> r.age >> r.fence;
    r.age /= 1000;
    for (std::string hash; in >> hash;) r.hashes.insert(hash);
    out.push_back(r);
  }
  return out;
}

Herd::Metered Herd::metered() {
  Metered out;
  const auto lines = all("metered");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::istringstream in(lines[i]);
    double sent = 0, received = 0;
    in >> sent >> received;
    const bool votes = processes_[i].first < options_.voters;
    auto& most = votes ? out.voterSent : out.memberSent;
    auto& mostReceived = votes ? out.voterReceived : out.memberReceived;
    most = std::max(most, sent), mostReceived = std::max(mostReceived, received);
  }
  return out;
}

int Herd::leader() {
  for (int i = 0; i < options_.voters; ++i)
    if (voter(i, "leads") == "1") return i;
  return -1;
}

std::vector<double> Herd::seen() {
  std::vector<double> out;
  for (const auto& line : all("seen")) {
    std::istringstream in(line);
    std::size_t count = 0;
    in >> count;
    for (double at = 0; in >> at;) out.push_back(at / 1000);
  }
  std::sort(out.begin(), out.end());
  return out;
}

Herd::Arrivals Herd::arrivals() {
  Arrivals out;
  const auto lines = all("arrivals");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    auto& into = i < static_cast<std::size_t>(options_.voters) ? out.voters : out.others;
    std::istringstream in(lines[i]);
    for (std::string word; in >> word && word != "-";) {
      std::istringstream fields(word);
      std::string field;
      std::getline(fields, field, ',');
      auto& times = into[std::stol(field)];
      while (std::getline(fields, field, ',')) times.push_back(std::stod(field) / 1000);
    }
  }
  return out;
}

}  // namespace topazweir::lab::scale

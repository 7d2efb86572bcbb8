// Clients on plain sockets and threads of their own: crowds that send what they are told and stay, one that
// sends at full speed, and a usual one that checks that each of its requests gets one final answer in time.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../check.hpp"

namespace topazweir::test {

using SteadyClock = std::chrono::steady_clock;

inline int millisUntil(SteadyClock::time_point end) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - SteadyClock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

// A client's socket, closed with the object.
class ClientSocket {
 public:
  ClientSocket() = default;
  // Starts to connect to "address:port" without waiting.
  explicit ClientSocket(const std::string& address) {
    sockaddr_in to{};
    const auto colon = address.rfind(':');
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    CHECK(fd_ >= 0);
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) close();
  }
  ~ClientSocket() { close(); }
  ClientSocket(ClientSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ClientSocket& operator=(ClientSocket&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  bool open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Waits until the socket can be written or read (POLLOUT, POLLIN).
  bool wait(short event, int ms) const {
    pollfd entry{fd_, event, 0};
    return fd_ >= 0 && ::poll(&entry, 1, ms) > 0;
  }
  // Sends what the kernel takes at once, from `at` on, and advances it. False: the connection has ended.
  bool sendSome(const std::string& bytes, std::size_t& at) {
    while (at < bytes.size()) {
      const auto sent = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Appends what has arrived. False: the connection has ended.
  bool receiveSome(std::string& to) {
    char buffer[65536];
    while (true) {
      const auto got = ::recv(fd_, buffer, sizeof buffer, 0);
      if (got == 0) return false;
      if (got < 0) return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      to.append(buffer, static_cast<std::size_t>(got));
    }
  }

 private:
  int fd_ = -1;
};

// Many clients at once, each of which sends the same bytes, as far as it gets, and then stays. They read
// nothing. One that is closed by the server stays away.
class Crowd {
 public:
  // `most`: bytes of each client a round (20 ms), so that small values make slow writers.
  Crowd(const std::string& address, int count, std::string bytes, std::size_t most = 1 << 20)
      : bytes_(std::move(bytes)), most_(most) {
    for (int i = 0; i < count; ++i) members_.push_back({ClientSocket(address), 0});
    thread_ = std::thread([this] { run(); });
  }
  ~Crowd() {
    stop_ = true;
    thread_.join();
  }
  // Bytes that the kernels have taken from all clients.
  std::size_t sent() const { return sent_; }

 private:
  static constexpr std::chrono::milliseconds kRound{20};
  struct Member {
    ClientSocket socket;
    std::size_t at = 0;
  };
  void run() {
    while (!stop_) {
      for (auto& member : members_) sendRound(member);
      std::this_thread::sleep_for(kRound);
    }
  }
  void sendRound(Member& member) {
    if (!member.socket.open() || member.at == bytes_.size()) return;
    const auto before = member.at;
    const auto until = std::min(bytes_.size(), before + most_);
    std::size_t at = 0;
    const bool open = member.socket.sendSome(bytes_.substr(before, until - before), at);
    member.at += at;
    sent_ += at;
    if (!open) member.socket.close();
  }

  std::string bytes_;
  std::size_t most_;
  std::vector<Member> members_;
  std::atomic<std::size_t> sent_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// One client that sends as fast as its connection takes it, and connects again when it is closed.
class FullSpeedClient {
 public:
  // `next`: the bytes of the n-th piece. `preface`: sent first on each connection. `reads`: it reads what the
  // server answers.
  FullSpeedClient(std::string address, std::function<std::string(int)> next, bool reads,
                  std::string preface = {})
      : address_(std::move(address)), next_(std::move(next)), preface_(std::move(preface)), reads_(reads) {
    thread_ = std::thread([this] { run(); });
  }
  ~FullSpeedClient() {
    stop_ = true;
    thread_.join();
  }
  std::size_t sent() const { return sent_; }  // bytes

 private:
  static constexpr int kWaitMs = 10;
  void run() {
    ClientSocket socket;
    std::string piece;
    std::size_t at = 0;
    for (int n = 0; !stop_;) {
      if (!socket.open()) {
        socket = ClientSocket(address_);
        piece = preface_;
        at = 0;
      }
      if (at == piece.size()) {
        piece = next_(n++);
        at = 0;
      }
      const auto before = at;
      bool open = socket.sendSome(piece, at);
      sent_ += at - before;
      std::string answers;
      if (open && reads_) open = socket.receiveSome(answers);
      if (!open) {
        socket.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(kWaitMs));
      } else if (at < piece.size()) {
        socket.wait(static_cast<short>(reads_ ? POLLOUT | POLLIN : POLLOUT), kWaitMs);
      }
    }
  }

  std::string address_;
  std::function<std::string(int)> next_;
  std::string preface_;
  bool reads_;
  std::atomic<std::size_t> sent_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// What the requests of a usual client came to.
struct UsualResults {
  std::map<int, int> statuses;  // of the answers in time
  int late = 0;                 // no whole answer by its due time and the allowance
  int closed = 0;               // the connection was closed on the request without an answer
  double longestSeconds = 0;
  int total() const {
    int sum = late + closed;
    for (const auto& [status, count] : statuses) sum += count;
    return sum;
  }
  void print(const char* name) const {
    std::fprintf(stderr, "%s: %d late, %d closed, longest %.3f s, answers:", name, late, closed,
                 longestSeconds);
    for (const auto& [status, count] : statuses) std::fprintf(stderr, " %d x %d", count, status);
    std::fprintf(stderr, "\n");
  }
};

// Sends one HTTP request after the other on a connection that it keeps, like the clients of the platform: one
// that meets the close of a kept connection is sent once more on a new one.
class UsualClient {
 public:
  static constexpr std::chrono::milliseconds kPause{10};
  static constexpr std::chrono::milliseconds kAllowance{500};  // late answers that count as in time

  UsualClient(std::string address, std::function<std::string(int)> request,
              std::chrono::milliseconds deadline)
      : address_(std::move(address)), request_(std::move(request)), deadline_(deadline) {
    thread_ = std::thread([this] { run(); });
  }
  ~UsualClient() {
    stop_ = true;
    thread_.join();
  }
  // Ends the client after its current request; see ended().
  void stop() { stop_ = true; }
  bool ended() const { return ended_; }
  UsualResults soFar() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return results_;
  }

 private:
  enum class End { answered, late, closed };
  void run() {
    for (int n = 0; !stop_; ++n) {
      const auto begin = SteadyClock::now();
      const auto due = begin + deadline_ + kAllowance;
      const bool kept = socket_.open();
      auto end = exchange(request_(n), due);
      if (end == End::closed && kept) end = exchange(request_(n), due);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (end == End::answered) ++results_.statuses[status_];
        if (end == End::late) ++results_.late;
        if (end == End::closed) ++results_.closed;
        results_.longestSeconds = std::max(results_.longestSeconds,
                                           std::chrono::duration<double>(SteadyClock::now() - begin).count());
      }
      std::this_thread::sleep_for(kPause);
    }
    ended_ = true;
  }
  // Anything but an answer closes the connection.
  End exchange(const std::string& request, SteadyClock::time_point due) {
    if (!socket_.open()) socket_ = ClientSocket(address_);
    std::size_t at = 0;
    std::string answer;
    while (SteadyClock::now() < due) {
      socket_.wait(static_cast<short>(at < request.size() ? POLLOUT | POLLIN : POLLIN), millisUntil(due));
      const bool sent = socket_.sendSome(request, at);
      const bool open = socket_.receiveSome(answer) && sent;
      if (whole(answer)) {
        if (!open || answer.find("Connection: close") != std::string::npos) socket_.close();
        return End::answered;
      }
      if (!open) {
        socket_.close();
        return End::closed;
      }
    }
    socket_.close();
    return End::late;
  }
  bool whole(const std::string& answer) {
    static constexpr const char* kLength = "Content-Length: ";
    const auto head = answer.find("\r\n\r\n");
    const auto length = answer.find(kLength);
    if (head == std::string::npos || length == std::string::npos) return false;
    status_ = std::stoi(answer.substr(answer.find(' ') + 1, 3));
    return answer.size() >= head + 4 + std::stoul(answer.substr(length + std::string(kLength).size(), 10));
  }

  std::string address_;
  std::function<std::string(int)> request_;
  std::chrono::milliseconds deadline_;
  ClientSocket socket_;
  int status_ = 0;
  std::mutex mutex_;
  UsualResults results_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

}  // namespace topazweir::test

// What the review's cases share: a poll loop on the real clock, a small HTTP/2 endpoint on libnghttp2 that
// plays gRPC clients and gRPC servers, the program under test as a process, and the record. It uses no code
// of the project.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace play {

inline double now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

struct CannotRun {
  std::string why;
};

// ---- the record ----

inline std::FILE*& recordFile() {
  static std::FILE* file = nullptr;
  return file;
}
inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...) {
  std::FILE* to = recordFile() ? recordFile() : stdout;
  std::fprintf(to, "%8.3f ", now());
  va_list args;
  va_start(args, format);
  std::vfprintf(to, format, args);
  va_end(args);
  std::fputc('\n', to);
  std::fflush(to);
}

// ---- the loop ----

struct Pollable {
  virtual ~Pollable() = default;
  virtual int fd() const = 0;
  virtual short events() = 0;
  virtual void ready(short events) = 0;
};

class Loop {
 public:
  std::set<Pollable*> all;
  std::multimap<double, std::function<void()>> timers;
  void after(double seconds, std::function<void()> what) { timers.emplace(now() + seconds, std::move(what)); }
  // Runs until `done` is true or the time is over; returns whether it was true.
  bool until(
      double seconds, const std::function<bool()>& done = [] { return false; }) {
    const double end = now() + seconds;
    while (!done()) {
      const double left = end - now();
      if (left <= 0) return false;
      double wait = std::min(left, 0.05);
      if (!timers.empty()) wait = std::clamp(timers.begin()->first - now(), 0.0, wait);
      std::vector<pollfd> fds;
      std::vector<Pollable*> who;
      for (auto* p : all)
        if (p->fd() >= 0) {
          fds.push_back({p->fd(), p->events(), 0});
          who.push_back(p);
        }
      ::poll(fds.data(), fds.size(), static_cast<int>(wait * 1000) + (wait > 0 ? 1 : 0));
      for (std::size_t i = 0; i < fds.size(); ++i)
        if (fds[i].revents != 0 && all.count(who[i]) > 0 && who[i]->fd() == fds[i].fd)
          who[i]->ready(fds[i].revents);
      while (!timers.empty() && timers.begin()->first <= now()) {
        const auto what = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        what();
      }
    }
    return true;
  }
};

inline Loop& loop() {
  static Loop one;
  return one;
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

inline int listenOn(int& port, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  auto at = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, backlog) != 0)
    throw CannotRun{"cannot listen"};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

inline int freePort() {
  int port = 0;
  ::close(listenOn(port));
  return port;
}

// Connected, or -1: refused.
inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  const int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

// ---- HTTP/2 ----

struct H2 : Pollable {
  using Fields = std::vector<std::pair<std::string, std::string>>;
  struct Stream {
    Fields head;          // the first header block received
    Fields trailers;      // the second one
    std::size_t got = 0;  // bytes of DATA received
    std::string body;     // these, the first 64 KiB
    bool ended = false;   // END_STREAM received
    bool closed = false;
    std::uint32_t code = 0;
    std::string out;  // DATA to send
    std::size_t sent = 0;
    Fields outTrailers;  // after it
    bool endAfter = true;
  };
  bool server;
  int socket;
  nghttp2_session* session = nullptr;
  std::map<int, Stream> streams;
  std::string pending;
  bool gone = false;
  std::function<void(H2&, int)> onRequestHead, onRequest, onEnd, onClosed;
  std::function<void(H2&)> onGone;

  // `window`: of a stream. `consume`: whether windows are opened again as data comes (a client that reads).
  H2(bool asServer, int fd, std::uint32_t maxStreams = 0, std::uint32_t window = 65535, bool consume = true)
      : server(asServer), socket(fd) {
    nghttp2_session_callbacks* c = nullptr;
    nghttp2_session_callbacks_new(&c);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        c, [](nghttp2_session*, const nghttp2_frame* f, void* u) {
          static_cast<H2*>(u)->streams[f->hd.stream_id];
          return 0;
        });
    nghttp2_session_callbacks_set_on_header_callback(
        c, [](nghttp2_session*, const nghttp2_frame* f, const std::uint8_t* n, std::size_t ns,
              const std::uint8_t* v, std::size_t vs, std::uint8_t, void* u) {
          auto& s = static_cast<H2*>(u)->streams[f->hd.stream_id];
          const bool second = f->headers.cat == NGHTTP2_HCAT_HEADERS;
          (second ? s.trailers : s.head)
              .push_back({{reinterpret_cast<const char*>(n), ns}, {reinterpret_cast<const char*>(v), vs}});
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        c, [](nghttp2_session*, const nghttp2_frame* f, void* u) {
          auto& self = *static_cast<H2*>(u);
          const bool end = (f->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
          const int id = f->hd.stream_id;
          if (f->hd.type == NGHTTP2_HEADERS && f->headers.cat == NGHTTP2_HCAT_REQUEST && self.onRequestHead)
            self.onRequestHead(self, id);
          if ((f->hd.type == NGHTTP2_HEADERS || f->hd.type == NGHTTP2_DATA) && end) {
            self.streams[id].ended = true;
            auto& what = self.server ? self.onRequest : self.onEnd;
            if (what) what(self, id);
          }
          return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        c,
        [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* d, std::size_t n, void* u) {
          auto& s = static_cast<H2*>(u)->streams[id];
          s.got += n;
          if (s.body.size() < 65536) s.body.append(reinterpret_cast<const char*>(d), n);
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        c, [](nghttp2_session*, std::int32_t id, std::uint32_t code, void* u) {
          auto& self = *static_cast<H2*>(u);
          self.streams[id].closed = true;
          self.streams[id].code = code;
          if (self.onClosed) self.onClosed(self, id);
          return 0;
        });
    nghttp2_option* o = nullptr;
    nghttp2_option_new(&o);
    if (!consume) nghttp2_option_set_no_auto_window_update(o, 1);
    if (server)
      nghttp2_session_server_new2(&session, c, this, o);
    else
      nghttp2_session_client_new2(&session, c, this, o);
    nghttp2_option_del(o);
    nghttp2_session_callbacks_del(c);
    std::vector<nghttp2_settings_entry> settings{{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window}};
    if (maxStreams > 0) settings.push_back({NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams});
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    loop().all.insert(this);
    flush();
  }
  ~H2() override {
    loop().all.erase(this);
    nghttp2_session_del(session);
    if (socket >= 0) ::close(socket);
  }
  H2(const H2&) = delete;

  int fd() const override { return gone ? -1 : socket; }
  short events() override { return static_cast<short>(POLLIN | (pending.empty() ? 0 : POLLOUT)); }
  void end() {
    if (gone) return;
    gone = true;
    ::close(std::exchange(socket, -1));
    if (onGone) onGone(*this);
  }
  void flush() {
    while (!gone) {
      const std::uint8_t* bytes = nullptr;
      const auto n = nghttp2_session_mem_send(session, &bytes);
      if (n <= 0) break;
      pending.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(n));
    }
    while (!gone && !pending.empty()) {
      const auto n = ::send(socket, pending.data(), pending.size(), MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) return end();
      pending.erase(0, static_cast<std::size_t>(n));
    }
  }
  void ready(short what) override {
    if ((what & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char chunk[65536];
      const auto n = ::recv(socket, chunk, sizeof chunk, 0);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return end();
      if (n > 0 && nghttp2_session_mem_recv(session, reinterpret_cast<std::uint8_t*>(chunk),
                                            static_cast<std::size_t>(n)) < 0)
        return end();
    }
    flush();
  }

  static std::vector<nghttp2_nv> views(const Fields& fields) {
    std::vector<nghttp2_nv> out;
    for (const auto& [n, v] : fields)
      out.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(n.data())),
                     reinterpret_cast<std::uint8_t*>(const_cast<char*>(v.data())), n.size(), v.size(),
                     NGHTTP2_NV_FLAG_NONE});
    return out;
  }
  static ssize_t read(nghttp2_session* s, std::int32_t id, std::uint8_t* to, std::size_t most,
                      std::uint32_t* flags, nghttp2_data_source*, void* u) {
    auto& stream = static_cast<H2*>(u)->streams[id];
    const auto n = std::min(most, stream.out.size() - stream.sent);
    std::memcpy(to, stream.out.data() + stream.sent, n);
    stream.sent += n;
    if (stream.sent < stream.out.size()) return static_cast<ssize_t>(n);
    if (!stream.endAfter) return n > 0 ? static_cast<ssize_t>(n) : static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED);
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!stream.outTrailers.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto fields = views(stream.outTrailers);
      nghttp2_submit_trailer(s, id, fields.data(), fields.size());
    }
    return static_cast<ssize_t>(n);
  }
  // Client: one unary call. Returns the stream.
  int call(const std::string& path, const std::string& message, const Fields& metadata) {
    Fields head{{":method", "POST"},    {":scheme", "http"}, {":path", path},
                {":authority", "dawa"}, {"te", "trailers"},  {"content-type", "application/grpc"}};
    head.insert(head.end(), metadata.begin(), metadata.end());
    const auto fields = views(head);
    nghttp2_data_provider body{{.ptr = nullptr}, read};
    const int id = nghttp2_submit_request(session, nullptr, fields.data(), fields.size(), &body, nullptr);
    streams[id].out = message;
    flush();
    return id;
  }
  // Server: a whole response, or trailers only.
  void answer(int id, const std::string& body, const std::string& status, const Fields& more = {}) {
    auto& stream = streams[id];
    if (gone || stream.closed) return;
    Fields head{{":status", "200"}, {"content-type", "application/grpc"}};
    if (body.empty()) {
      head.push_back({"grpc-status", status});
      head.insert(head.end(), more.begin(), more.end());
      const auto fields = views(head);
      nghttp2_submit_response(session, id, fields.data(), fields.size(), nullptr);
    } else {
      stream.out = body;
      stream.outTrailers = {{"grpc-status", status}};
      const auto fields = views(head);
      nghttp2_data_provider provider{{.ptr = nullptr}, read};
      nghttp2_submit_response(session, id, fields.data(), fields.size(), &provider);
    }
    flush();
  }
};

inline std::string field(const H2::Fields& from, const std::string& name) {
  for (const auto& [n, v] : from)
    if (n == name) return v;
  return {};
}

inline std::string message(const std::string& body) {
  std::string out(1, '\0');
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(body.size() >> shift & 255);
  return out + body;
}

// A gRPC server. Each request that has come in whole is given to `work`.
struct GrpcServer : Pollable {
  std::string name;
  int port = 0;
  int listener;
  std::uint32_t maxStreams;
  std::vector<std::unique_ptr<H2>> peers;
  std::function<void(GrpcServer&, H2&, int)> head, work;
  GrpcServer(std::string called, std::uint32_t streams)
      : name(std::move(called)), listener(listenOn(port)), maxStreams(streams) {
    loop().all.insert(this);
  }
  ~GrpcServer() override {
    loop().all.erase(this);
    ::close(listener);
  }
  int fd() const override { return listener; }
  short events() override { return POLLIN; }
  void ready(short) override {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    auto peer = std::make_unique<H2>(true, fd, maxStreams);
    peer->onRequestHead = [this](H2& h, int id) {
      if (head) head(*this, h, id);
    };
    peer->onRequest = [this](H2& h, int id) {
      if (work) work(*this, h, id);
    };
    peers.push_back(std::move(peer));
  }
};

// ---- the program under test ----

struct Program {
  pid_t pid = -1;
  std::string log;  // its file
  int status = 0;
  bool over = false;
  // `command`: as the deploy file's `run`, with arguments.
  Program(const std::string& command, const std::string& logFile,
          const std::map<std::string, std::string>& env = {})
      : log(logFile) {
    pid = ::fork();
    if (pid == 0) {
      const int out = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      for (const auto& [k, v] : env) ::setenv(k.c_str(), v.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    record("started process %d: %s", static_cast<int>(pid), command.c_str());
  }
  ~Program() {
    if (alive()) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, &status, 0);
    }
  }
  bool alive() {
    if (!over && ::waitpid(pid, &status, WNOHANG) == pid) {
      over = true;
      if (WIFSIGNALED(status))
        record("process %d ended by signal %d (%s)", static_cast<int>(pid), WTERMSIG(status),
               strsignal(WTERMSIG(status)));
      else
        record("process %d ended with %d", static_cast<int>(pid), WEXITSTATUS(status));
    }
    return !over;
  }
  void signal(int number) {
    record("signal %s to process %d", strsignal(number), static_cast<int>(pid));
    if (alive()) ::kill(pid, number);
  }
  std::size_t logged(const std::string& text) const {
    std::ifstream in(log);
    std::size_t count = 0;
    for (std::string line; std::getline(in, line);) count += line.find(text) != std::string::npos;
    return count;
  }
};

inline void writeFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0) throw CannotRun{"cannot write " + path};
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// argv: record file, temporary folder. Exit codes: 1 the rule was broken, 0 it held, 2 it could not run.
inline int main(int argc, char** argv, const std::function<bool(const std::string& folder)>& plays) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  recordFile() = std::fopen(argv[1], "w");
  now();
  record("with%s the disruption", trouble() ? "" : "out");
  try {
    const bool held = plays(argv[2]);
    record("%s", held ? "the rule held" : "THE RULE WAS BROKEN");
    return held ? 0 : 1;
  } catch (const CannotRun& e) {
    record("could not run: %s", e.why.c_str());
    return 2;
  }
}

}  // namespace play

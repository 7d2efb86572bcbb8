// Scripted HTTP/2 clients and servers on plain sockets. They write each frame themselves, so that they can
// violate the protocol in any way; nghttp2 only encodes and decodes their header fields.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "calls/metadata.hpp"
#include "check.hpp"

namespace topazweir::test {

using calls::Fields;

struct Frame {
  int type = 0;
  int flags = 0;
  int stream = 0;
  std::string payload;
};
// Frame types and flags (RFC 9113 section 6).
inline constexpr int kDataFrame = 0;
inline constexpr int kHeadersFrame = 1;
inline constexpr int kResetFrame = 3;
inline constexpr int kSettingsFrame = 4;
inline constexpr int kPingFrame = 6;
inline constexpr int kGoawayFrame = 7;
inline constexpr int kWindowUpdateFrame = 8;
inline constexpr int kContinuationFrame = 9;
inline constexpr int kEndStreamFlag = 1;
inline constexpr int kAckFlag = 1;
inline constexpr int kEndHeadersFlag = 4;
inline constexpr std::size_t kFrameHeaderBytes = 9;
inline constexpr std::size_t kClientPrefaceBytes = 24;
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024;  // unless SETTINGS allow more

// Error codes (RFC 9113 section 7).
inline constexpr std::uint32_t kInternalError = 2;
inline constexpr std::uint32_t kRefusedStream = 7;
inline constexpr std::uint32_t kCancel = 8;
inline constexpr std::uint32_t kEnhanceYourCalm = 11;

// Four bytes in network order.
inline std::string bigEndian(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
          static_cast<char>(value)};
}
// A frame with its header (RFC 9113 section 4.1).
inline std::string encodeFrame(int type, int flags, int stream, const std::string& payload = {}) {
  return bigEndian(static_cast<std::uint32_t>(payload.size()) << 8 | static_cast<std::uint32_t>(type)) +
         static_cast<char>(flags) + bigEndian(static_cast<std::uint32_t>(stream)) + payload;
}
// A gRPC message, uncompressed, with its length prefix.
inline std::string grpcMessage(const std::string& body) {
  return '\0' + bigEndian(static_cast<std::uint32_t>(body.size())) + body;
}

// One HTTP/2 connection of a scripted peer, used by one thread.
class RawConnection {
 public:
  explicit RawConnection(int fd) : fd_(fd) {
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    nghttp2_hd_deflate_new(&deflater_, 4096);
    nghttp2_hd_inflate_new(&inflater_);
  }
  ~RawConnection() {
    close();
    nghttp2_hd_deflate_del(deflater_);
    nghttp2_hd_inflate_del(inflater_);
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  // The socket of a new connection to "address:port".
  static int connectTo(const std::string& address) {
    sockaddr_in to{};
    const auto colon = address.rfind(':');
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(fd >= 0 && ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    return fd;
  }
  // False: the peer has closed the connection, or has read nothing for 5 s.
  bool send(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      pollfd p{fd_, POLLOUT, 0};
      if (::poll(&p, 1, 5000) <= 0) return false;
      const auto sent = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) return false;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  std::string encodeHeaders(const Fields& fields) {
    std::vector<nghttp2_nv> nv;
    for (const auto& f : fields)
      nv.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(f.name.data())),
                    reinterpret_cast<std::uint8_t*>(const_cast<char*>(f.value.data())), f.name.size(),
                    f.value.size(), 0});
    std::string out(nghttp2_hd_deflate_bound(deflater_, nv.data(), nv.size()), '\0');
    const auto size = nghttp2_hd_deflate_hd(deflater_, reinterpret_cast<std::uint8_t*>(out.data()),
                                            out.size(), nv.data(), nv.size());
    CHECK(size >= 0);
    out.resize(static_cast<std::size_t>(size));
    return out;
  }
  // The fields of a complete header block.
  Fields decodeHeaders(const std::string& block) {
    Fields out;
    const auto* at = reinterpret_cast<const std::uint8_t*>(block.data());
    std::size_t left = block.size();
    while (true) {
      nghttp2_nv nv;
      int flags = 0;
      const auto used = nghttp2_hd_inflate_hd2(inflater_, &nv, &flags, at, left, 1);
      CHECK(used >= 0);
      at += used;
      left -= static_cast<std::size_t>(used);
      if (flags & NGHTTP2_HD_INFLATE_EMIT)
        out.push_back({std::string(reinterpret_cast<char*>(nv.name), nv.namelen),
                       std::string(reinterpret_cast<char*>(nv.value), nv.valuelen)});
      if (flags & NGHTTP2_HD_INFLATE_FINAL) break;
      if (!(flags & NGHTTP2_HD_INFLATE_EMIT) && left == 0) break;
    }
    nghttp2_hd_inflate_end_headers(inflater_);
    return out;
  }
  std::string headersFrame(int stream, const Fields& fields, bool end) {
    return encodeFrame(kHeadersFrame, kEndHeadersFlag | (end ? kEndStreamFlag : 0), stream,
                       encodeHeaders(fields));
  }
  // The next frame. No value: none was received in time, or the connection has ended (see ended()).
  std::optional<Frame> readFrame(int ms) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    while (true) {
      if (in_.size() >= kFrameHeaderBytes) {
        const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(in_[i]); };
        const std::size_t size =
            static_cast<std::size_t>(byte(0)) << 16 | static_cast<std::size_t>(byte(1)) << 8 | byte(2);
        if (in_.size() >= kFrameHeaderBytes + size) {
          Frame f{byte(3), byte(4), (byte(5) & 0x7f) << 24 | byte(6) << 16 | byte(7) << 8 | byte(8),
                  in_.substr(kFrameHeaderBytes, size)};
          in_.erase(0, kFrameHeaderBytes + size);
          return f;
        }
      }
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now())
              .count();
      if (left <= 0) return std::nullopt;
      pollfd p{fd_, POLLIN, 0};
      if (::poll(&p, 1, static_cast<int>(left)) <= 0) return std::nullopt;
      char buffer[65536];
      const auto got = ::recv(fd_, buffer, sizeof buffer, 0);
      if (got <= 0) {
        ended_ = true;
        return std::nullopt;
      }
      in_.append(buffer, static_cast<std::size_t>(got));
      if (!prefaceSkipped_ && isServer) {
        prefaceSkipped_ = true;
        in_.erase(0, std::min(kClientPrefaceBytes, in_.size()));
      }
    }
  }
  // The next frame of a type, except acknowledgements of SETTINGS; other frames are dropped.
  std::optional<Frame> awaitFrame(int type, int ms) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    while (std::chrono::steady_clock::now() < until) {
      const auto f = readFrame(50);
      if (!f && ended_) return std::nullopt;
      if (f && f->type == type && !(type == kSettingsFrame && f->flags == kAckFlag)) return f;
    }
    return std::nullopt;
  }
  bool ended() const { return ended_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Closes the connection with a TCP reset.
  void abort() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  bool isServer = false;  // input starts with the client's connection preface

 private:
  int fd_;
  std::string in_;
  bool prefaceSkipped_ = false;
  bool ended_ = false;
  nghttp2_hd_deflater* deflater_ = nullptr;
  nghttp2_hd_inflater* inflater_ = nullptr;
};

// How a scripted backend responds to a call.
enum class Fault {
  none,                // OK, with the request's message in the response
  trailersOnly,        // UNAVAILABLE in a Trailers-Only response
  pushback,            // the same, with grpc-retry-pushback-ms: 200
  noRetry,             // the same, with grpc-retry-pushback-ms: -1
  cutBeforeTrailers,   // closes the connection
  cutMidMessage,       // resets the connection
  cutMidTrailers,      // closes the connection
  noStatus,            // ends the stream without trailers
  trailersWithoutEnd,  // trailers without END_STREAM
  refused,             // RST_STREAM(REFUSED_STREAM)
  resetInternal,       // RST_STREAM(INTERNAL_ERROR)
  resetAfterHead,      // the same after the response's header fields
  dropAfterHead,       // resets the connection after the response's header fields
  goaway,        // GOAWAY whose last stream id is below this call's, after the first call on the connection
  unresponsive,  // no response
  unresponsiveAfterHead,  // nothing after the response's header fields
  http503,                // HTTP status 503
  notGrpc,                // an HTML page
  closeAtOnce             // resets the connection
};
// Values of Fault.
inline constexpr int kFaultCount = 19;

// An HTTP/2 server whose response to each call is chosen by the test. Each connection has a thread.
class ScriptedBackend {
 public:
  // The response to a call; `call`: how many came before it. Called by the threads of all connections.
  using Choose = std::function<Fault(int call)>;
  explicit ScriptedBackend(Choose choose) : choose_(std::move(choose)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    CHECK(::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) == 0 && ::listen(listener_, 64) == 0);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    acceptor_ = std::thread([this] { accept(); });
  }
  ~ScriptedBackend() {
    stop_ = true;
    acceptor_.join();
    for (auto& t : threads_) t.join();
    ::close(listener_);
  }
  std::string address;
  std::atomic<int> calls{0};
  std::atomic<int> resets{0};  // RST_STREAM frames received
  // When each call was received.
  std::vector<std::chrono::steady_clock::time_point> arrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }
  // When each call was received, by its metadata x-id.
  std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> arrivalsById() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivalsById_;
  }
  // How many times each call was received, by its metadata x-id.
  std::map<std::string, int> starts() {
    std::map<std::string, int> out;
    for (const auto& [id, times] : arrivalsById()) out[id] = static_cast<int>(times.size());
    return out;
  }

 private:
  void accept() {
    while (!stop_) {
      pollfd p{listener_, POLLIN, 0};
      if (::poll(&p, 1, 20) <= 0) continue;
      const int fd = ::accept(listener_, nullptr, nullptr);
      if (fd >= 0) threads_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    RawConnection connection(fd);
    connection.isServer = true;
    connection.send(encodeFrame(kSettingsFrame, 0, 0));
    std::map<int, Fault> open;
    std::map<int, std::string> bodies;
    int served = 0;
    while (!stop_) {
      const auto f = connection.readFrame(20);
      if (!f) {
        if (connection.ended()) return;
        continue;
      }
      if (f->type == kSettingsFrame && f->flags != kAckFlag)
        connection.send(encodeFrame(kSettingsFrame, kAckFlag, 0));
      if (f->type == kPingFrame && f->flags != kAckFlag)
        connection.send(encodeFrame(kPingFrame, kAckFlag, 0, f->payload));
      if (f->type == kResetFrame) ++resets;
      if (f->type == kHeadersFrame) {
        const auto head = connection.decodeHeaders(f->payload);
        const Fault fault = choose_(calls++);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          arrivals_.push_back(std::chrono::steady_clock::now());
          arrivalsById_[std::string(calls::find(head, "x-id").value_or(""))].push_back(arrivals_.back());
        }
        open[f->stream] = fault;
      }
      if (f->type == kDataFrame) {
        bodies[f->stream] += f->payload;
        if (!f->payload.empty())
          connection.send(encodeFrame(kWindowUpdateFrame, 0, 0,
                                      bigEndian(static_cast<std::uint32_t>(f->payload.size()))) +
                          encodeFrame(kWindowUpdateFrame, 0, f->stream,
                                      bigEndian(static_cast<std::uint32_t>(f->payload.size()))));
      }
      if ((f->type == kHeadersFrame || f->type == kDataFrame) && (f->flags & kEndStreamFlag)) {
        ++served;
        if (!respond(connection, f->stream, open[f->stream], bodies[f->stream], served)) return;
      }
    }
  }
  // Responds to a complete request. False: the connection is closed.
  bool respond(RawConnection& connection, int stream, Fault fault, const std::string& body, int served) {
    const Fields head = {{":status", "200"}, {"content-type", "application/grpc"}};
    const Fields okTrailers = {{"grpc-status", "0"}, {"x-server", address}};
    const auto trailersOnly = [&](const Fields& more) {
      Fields all = head;
      all.insert(all.end(), more.begin(), more.end());
      return connection.send(connection.headersFrame(stream, all, true));
    };
    const auto sendHead = [&] { return connection.send(connection.headersFrame(stream, head, false)); };
    const auto reply = grpcMessage(body.size() > 5 ? body.substr(5) : "");
    switch (fault) {
      case Fault::none:
        return sendHead() && connection.send(encodeFrame(kDataFrame, 0, stream, reply)) &&
               connection.send(connection.headersFrame(stream, okTrailers, true));
      case Fault::trailersOnly:
        return trailersOnly({{"grpc-status", "14"}, {"grpc-message", "busy"}});
      case Fault::pushback:
        return trailersOnly({{"grpc-status", "14"}, {"grpc-retry-pushback-ms", "200"}});
      case Fault::noRetry:
        return trailersOnly(
            {{"grpc-status", "14"}, {"grpc-message", "never"}, {"grpc-retry-pushback-ms", "-1"}});
      case Fault::cutBeforeTrailers:
        sendHead();
        connection.send(encodeFrame(kDataFrame, 0, stream, reply));
        connection.close();
        return false;
      case Fault::cutMidMessage:
        sendHead();
        connection.send(encodeFrame(kDataFrame, 0, stream, reply.substr(0, reply.size() / 2)));
        connection.abort();
        return false;
      case Fault::cutMidTrailers: {
        const auto trailers = connection.headersFrame(stream, okTrailers, true);
        sendHead();
        connection.send(encodeFrame(kDataFrame, 0, stream, reply));
        connection.send(trailers.substr(0, trailers.size() / 2));
        connection.close();
        return false;
      }
      case Fault::noStatus:
        return sendHead() && connection.send(encodeFrame(kDataFrame, kEndStreamFlag, stream, reply));
      case Fault::trailersWithoutEnd:
        return sendHead() && connection.send(encodeFrame(kDataFrame, 0, stream, reply)) &&
               connection.send(connection.headersFrame(stream, okTrailers, false));
      case Fault::refused:
        return connection.send(encodeFrame(kResetFrame, 0, stream, bigEndian(kRefusedStream)));
      case Fault::resetInternal:
        return connection.send(encodeFrame(kResetFrame, 0, stream, bigEndian(kInternalError)));
      case Fault::resetAfterHead:
        return sendHead() && connection.send(encodeFrame(kResetFrame, 0, stream, bigEndian(kInternalError)));
      case Fault::dropAfterHead:
        sendHead();
        connection.abort();
        return false;
      case Fault::goaway:
        if (served == 1)
          return sendHead() && connection.send(encodeFrame(kDataFrame, 0, stream, reply)) &&
                 connection.send(connection.headersFrame(stream, okTrailers, true));
        // Sent once: later calls on this connection are above its last stream id, too.
        return served > 2 ||
               connection.send(encodeFrame(kGoawayFrame, 0, 0,
                                           bigEndian(static_cast<std::uint32_t>(stream - 2)) + bigEndian(0)));
      case Fault::unresponsive:
        return true;
      case Fault::unresponsiveAfterHead:
        return sendHead();
      case Fault::http503:
        return connection.send(
            connection.headersFrame(stream, {{":status", "503"}, {"content-type", "text/plain"}}, true));
      case Fault::notGrpc:
        return connection.send(connection.headersFrame(
                   stream, {{":status", "200"}, {"content-type", "text/html"}}, false)) &&
               connection.send(encodeFrame(kDataFrame, kEndStreamFlag, stream, "<html>"));
      case Fault::closeAtOnce:
        connection.abort();
        return false;
    }
    return false;
  }

  Choose choose_;
  int listener_ = -1;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
  std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> arrivalsById_;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

// A client that sends any bytes; it has sent the connection preface and SETTINGS.
struct RawClient {
  RawConnection connection;
  explicit RawClient(const std::string& address) : connection(RawConnection::connectTo(address)) {
    connection.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + encodeFrame(kSettingsFrame, 0, 0));
  }
  static Fields head(const std::string& path = "/t.T/Echo") {
    return {{":method", "POST"},
            {":scheme", "http"},
            {":path", path},
            {":authority", "x"},
            {"content-type", "application/grpc"},
            {"te", "trailers"}};
  }
};

}  // namespace topazweir::test

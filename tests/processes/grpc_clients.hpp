// Raw gRPC clients: frames that can be sent on any connection, and a usual caller that checks that each of
// its calls gets one status in time.
#pragma once

#include "../h2_peer.hpp"
#include "hostile_clients.hpp"

namespace topazweir::test {

// A header block without references to the dynamic table, so that its bytes can be sent on any connection.
inline std::string literalBlock(const Fields& fields) {
  constexpr std::size_t kMaxShortLength = 126;
  std::string out;
  for (const auto& field : fields) {
    CHECK(field.name.size() <= kMaxShortLength && field.value.size() <= kMaxShortLength);
    out += '\0';
    for (const auto* text : {&field.name, &field.value}) out += static_cast<char>(text->size()) + *text;
  }
  return out;
}

inline std::string callHead(int stream, const Fields& fields, bool end) {
  return encodeFrame(kHeadersFrame, kEndHeadersFlag | (end ? kEndStreamFlag : 0), stream,
                     literalBlock(fields));
}

inline std::string preface() {
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + encodeFrame(kSettingsFrame, 0, 0);
}

// The n-th stream of a client's connection.
inline int streamOf(int n) { return 2 * n + 1; }

// Makes one call after the other on one connection and checks that each gets its status in time.
class UsualCaller {
 public:
  UsualCaller(std::string address, std::chrono::milliseconds deadline)
      : address_(std::move(address)), deadline_(deadline) {
    thread_ = std::thread([this] { run(); });
  }
  ~UsualCaller() {
    stop_ = true;
    thread_.join();
  }
  void stop() { stop_ = true; }
  bool ended() const { return ended_; }
  UsualResults soFar() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return results_;
  }

 private:
  void run() {
    auto client = std::make_unique<RawClient>(address_);
    int stream = 1;
    while (!stop_) {
      const auto begin = SteadyClock::now();
      const int status = call(client->connection, stream, begin + deadline_ + UsualClient::kAllowance);
      stream += 2;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (status >= 0) ++results_.statuses[status];
        if (status == kLate) ++results_.late;
        if (status == kClosed) ++results_.closed;
        results_.longestSeconds = std::max(results_.longestSeconds,
                                           std::chrono::duration<double>(SteadyClock::now() - begin).count());
      }
      if (status < 0) {
        client = std::make_unique<RawClient>(address_);
        stream = 1;
      }
      std::this_thread::sleep_for(UsualClient::kPause);
    }
    ended_ = true;
  }
  // The status of the call, kLate or kClosed.
  static int call(RawConnection& connection, int stream, SteadyClock::time_point due) {
    connection.send(connection.headersFrame(stream, RawClient::head(), false) +
                    encodeFrame(kDataFrame, kEndStreamFlag, stream, grpcMessage("m")));
    while (SteadyClock::now() < due) {
      const auto frame = connection.readFrame(millisUntil(due));
      if (!frame && connection.ended()) return kClosed;
      if (!frame) continue;
      if (frame->type == kResetFrame && frame->stream == stream) return kClosed;
      if (frame->type == kSettingsFrame && frame->flags != kAckFlag)
        connection.send(encodeFrame(kSettingsFrame, kAckFlag, 0));
      if (frame->type != kHeadersFrame) continue;
      const auto fields = connection.decodeHeaders(frame->payload);
      const auto status = calls::find(fields, "grpc-status");
      if (status && frame->stream == stream) return std::stoi(std::string(*status));
    }
    return kLate;
  }

  static constexpr int kLate = -1;
  static constexpr int kClosed = -2;
  std::string address_;
  std::chrono::milliseconds deadline_;
  std::mutex mutex_;
  UsualResults results_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

}  // namespace topazweir::test

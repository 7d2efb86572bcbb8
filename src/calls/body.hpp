// The bytes of a call that wait between two peers, and what bounds them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <deque>
#include <string>
#include <string_view>

namespace topazweir::calls {

// Bytes held by all calls of a front together, in each direction. Shrinks as they go.
struct Pressure {
  std::size_t most = 64 * 1024 * 1024;
  std::size_t held = 0;
  std::size_t peak = 0;
  bool full() const { return held >= most; }
};

// A queue of bytes that is read from any offset on; what nobody will read again is dropped. Bounded by its
// users: the replay limit before a call is committed, the stream's window after it.
class Body {
 public:
  explicit Body(Pressure& pressure) : pressure_(&pressure) {}
  ~Body() { pressure_->held -= kept_; }
  Body(const Body&) = delete;
  Body& operator=(const Body&) = delete;

  void append(std::string_view bytes) {
    if (bytes.empty()) return;
    pieces_.emplace_back(bytes);
    kept_ += bytes.size(), end_ += bytes.size();
    pressure_->held += bytes.size();
    pressure_->peak = std::max(pressure_->peak, pressure_->held);
  }
  // Copies what stands from `offset` on, `most` bytes at most; the count.
  std::size_t read(std::uint64_t offset, char* to, std::size_t most) const {
    std::uint64_t at = end_ - kept_;
    std::size_t done = 0;
    for (const auto& piece : pieces_) {
      if (done == most) break;
      if (offset < at + piece.size()) {
        const auto skip = static_cast<std::size_t>(offset - at);
        const auto take = std::min(most - done, piece.size() - skip);
        std::memcpy(to + done, piece.data() + skip, take);
        done += take, offset += take;
      }
      at += piece.size();
    }
    return done;
  }
  // Drops whole pieces that end at or before `offset`; the count of bytes dropped.
  std::size_t release(std::uint64_t offset) {
    std::size_t dropped = 0;
    while (!pieces_.empty() && end_ - kept_ + pieces_.front().size() <= offset) {
      dropped += pieces_.front().size();
      kept_ -= pieces_.front().size();
      pieces_.pop_front();
    }
    pressure_->held -= dropped;
    return dropped;
  }
  std::uint64_t end() const { return end_; }  // offset behind the last byte that ever came
  std::size_t kept() const { return kept_; }

 private:
  Pressure* pressure_;
  std::deque<std::string> pieces_;
  std::uint64_t end_ = 0;
  std::size_t kept_ = 0;
};

// Follows a stream's message boundaries (PROTOCOL-HTTP2.md, "Length-Prefixed-Message": a flag, four bytes of
// length, the message) without keeping any of it.
class Meter {
 public:
  // False: a message is longer than `most`.
  bool take(std::string_view bytes, std::size_t most) {
    while (!bytes.empty()) {
      if (left_ > 0) {
        const auto step = std::min<std::uint64_t>(left_, bytes.size());
        left_ -= step;
        bytes.remove_prefix(static_cast<std::size_t>(step));
        continue;
      }
      if (prefix_ > 0) length_ = length_ << 8 | static_cast<unsigned char>(bytes.front());
      bytes.remove_prefix(1);
      if (++prefix_ < 5) continue;
      if (length_ > most) return false;
      ++messages_;
      left_ = length_, prefix_ = 0, length_ = 0;
    }
    return true;
  }
  bool betweenMessages() const { return prefix_ == 0 && left_ == 0; }
  std::uint64_t messages() const { return messages_; }

 private:
  int prefix_ = 0;
  std::uint64_t length_ = 0, left_ = 0, messages_ = 0;
};

}  // namespace topazweir::calls

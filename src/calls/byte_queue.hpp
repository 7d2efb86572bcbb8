// Buffered bytes of a call between client and backend, and the limits on them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <deque>
#include <string>
#include <string_view>

#include "memory/budget.hpp"

namespace topazweir::calls {

// A queue of bytes that can be read from any retained offset. Bytes that will not be read again are released.
// Its users bound its size: by the replay limit until the call is committed, then by the stream's
// flow-control window.
class Body {
 public:
  // What is retained counts against `budget`, which must outlive this.
  explicit Body(memory::Budget& budget) : budget_(&budget) {}
  ~Body() { budget_->release(kept_); }
  Body(const Body&) = delete;
  Body& operator=(const Body&) = delete;

  void append(std::string_view bytes) {
    if (bytes.empty()) return;
    pieces_.emplace_back(bytes);
    kept_ += bytes.size();
    end_ += bytes.size();
    budget_->add(bytes.size());
  }
  // Copies the bytes from `offset` on, at most `most` of them, and returns their number.
  std::size_t read(std::uint64_t offset, char* to, std::size_t most) const {
    std::uint64_t at = end_ - kept_;
    std::size_t done = 0;
    for (const auto& piece : pieces_) {
      if (done == most) break;
      if (offset < at + piece.size()) {
        const auto skip = static_cast<std::size_t>(offset - at);
        const auto take = std::min(most - done, piece.size() - skip);
        std::memcpy(to + done, piece.data() + skip, take);
        done += take;
        offset += take;
      }
      at += piece.size();
    }
    return done;
  }
  // Drops the appended pieces that end at or before `offset`, and returns the number of bytes dropped.
  std::size_t release(std::uint64_t offset) {
    std::size_t dropped = 0;
    while (!pieces_.empty() && end_ - kept_ + pieces_.front().size() <= offset) {
      dropped += pieces_.front().size();
      kept_ -= pieces_.front().size();
      pieces_.pop_front();
    }
    budget_->release(dropped);
    return dropped;
  }
  std::uint64_t end() const { return end_; }  // offset one past the last byte appended
  std::size_t kept() const { return kept_; }  // bytes retained

 private:
  memory::Budget* budget_;
  std::deque<std::string> pieces_;
  std::uint64_t end_ = 0;
  std::size_t kept_ = 0;
};

// Tracks the message boundaries of a stream without storing its bytes. Each message has a prefix of a flag
// byte and a length of four bytes (PROTOCOL-HTTP2.md, "Length-Prefixed-Message").
class MessageMeter {
 public:
  // Consumes the stream's next bytes. Returns false if a message is longer than `most` bytes.
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
      if (++prefix_ < kPrefixBytes) continue;
      if (length_ > most) return false;
      ++messages_;
      left_ = length_;
      prefix_ = 0;
      length_ = 0;
    }
    return true;
  }
  bool betweenMessages() const { return prefix_ == 0 && left_ == 0; }
  std::uint64_t messages() const { return messages_; }

 private:
  static constexpr int kPrefixBytes = 5;
  int prefix_ = 0;            // bytes of the current prefix read so far
  std::uint64_t length_ = 0;  // length of the message, as far as its prefix has been read
  std::uint64_t left_ = 0;    // bytes of the current message still to come
  std::uint64_t messages_ = 0;
};

}  // namespace topazweir::calls

// Accounting of buffered bytes against limits. No I/O and no clock; used by every layer that buffers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace topazweir::memory {

// Bytes that are buffered together, and the limit on them. The budget does not prevent anything by itself:
// whoever takes on bytes asks full() first and turns work away, or frees what can be freed. What is added
// here counts against the parent, too.
class Budget {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  // `parent` must outlive this.
  explicit Budget(std::size_t limit = kUnlimited, Budget* parent = nullptr)
      : limit_(limit), parent_(parent) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  // In bytes; applies from now on.
  void setLimit(std::size_t limit) { limit_ = limit; }
  std::size_t limit() const { return limit_; }
  // Bytes held now.
  std::size_t held() const { return held_; }
  // The highest value of held() so far.
  std::size_t peak() const { return peak_; }
  // Whether this budget or its parent has reached its limit.
  bool full() const { return held_ >= limit_ || (parent_ != nullptr && parent_->full()); }
  // Bytes to be freed until full() is false; 0: none.
  std::size_t excess() const {
    const std::size_t own = held_ >= limit_ ? held_ - limit_ + 1 : 0;
    return parent_ == nullptr ? own : std::max(own, parent_->excess());
  }
  void add(std::size_t bytes) {
    held_ += bytes;
    peak_ = std::max(peak_, held_);
    if (parent_ != nullptr) parent_->add(bytes);
  }
  void release(std::size_t bytes) {
    held_ -= std::min(held_, bytes);
    if (parent_ != nullptr) parent_->release(bytes);
  }

 private:
  std::size_t limit_;
  Budget* parent_;
  std::size_t held_ = 0;
  std::size_t peak_ = 0;
};

// The share of one owner in a budget, given back when it is destroyed.
class Charge {
 public:
  // `budget` must outlive this; null: nothing is accounted for.
  explicit Charge(Budget* budget = nullptr) : budget_(budget) {}
  ~Charge() { set(0); }
  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;
  Charge(Charge&& other) noexcept : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    budget_ = other.budget_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  // Replaces the number of bytes held.
  void set(std::size_t bytes) {
    if (budget_ != nullptr && bytes > bytes_) budget_->add(bytes - bytes_);
    if (budget_ != nullptr && bytes < bytes_) budget_->release(bytes_ - bytes);
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  Budget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace topazweir::memory

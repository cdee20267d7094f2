#pragma once

#include <atomic>
#include <cstddef>
#include <utility>
#include <vector>

namespace jujubecove {

// A bounded ring buffer from one producer thread to one consumer thread. Unlike
// boost::lockfree::spsc_queue of Boost 1.81 it moves its elements, so the body
// of a reply is not copied.
template <typename T>
class SpscRing {
 public:
  explicit SpscRing(std::size_t capacity) : slots_(capacity + 1) {}

  // Called by the producer. Returns false and leaves `value` unchanged if the
  // ring is full.
  bool TryPush(T&& value) {
    std::size_t tail = tail_.load(std::memory_order_relaxed);
    std::size_t next = Next(tail);
    if (next == cached_head_) {
      cached_head_ = head_.load(std::memory_order_acquire);
      if (next == cached_head_)
        return false;
    }
    slots_[tail] = std::move(value);
    tail_.store(next, std::memory_order_release);
    return true;
  }

  // Called by the producer.
  std::size_t FreeSlots() const {
    std::size_t head = head_.load(std::memory_order_acquire);
    std::size_t tail = tail_.load(std::memory_order_relaxed);
    return (head + slots_.size() - tail - 1) % slots_.size();
  }

  // Called by the consumer.
  bool TryPop(T& value) {
    std::size_t head = head_.load(std::memory_order_relaxed);
    if (head == cached_tail_) {
      cached_tail_ = tail_.load(std::memory_order_acquire);
      if (head == cached_tail_)
        return false;
    }
    value = std::move(slots_[head]);
    head_.store(Next(head), std::memory_order_release);
    return true;
  }

  // Called by the consumer.
  bool Empty() const {
    return head_.load(std::memory_order_relaxed) ==
           tail_.load(std::memory_order_acquire);
  }

 private:
  // Keeps the indices of the two threads on separate cache lines.
  static constexpr std::size_t kCacheLineBytes = 64;

  std::size_t Next(std::size_t index) const {
    return index + 1 == slots_.size() ? 0 : index + 1;
  }

  std::vector<T> slots_;
  alignas(kCacheLineBytes) std::atomic<std::size_t> head_{0};
  // The value of `tail_` that the consumer read last.
  std::size_t cached_tail_ = 0;
  alignas(kCacheLineBytes) std::atomic<std::size_t> tail_{0};
  // The value of `head_` that the producer read last.
  std::size_t cached_head_ = 0;
};

}  // namespace jujubecove

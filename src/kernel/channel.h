#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "kernel/spsc_ring.h"

namespace jujubecove {

// A bounded queue from one producer thread to one consumer thread, which runs
// an io_context. The consumer is woken only when it is idle, so a burst of
// messages costs one wake-up.
template <typename T>
class Channel {
 public:
  Channel(boost::asio::io_context& consumer, std::size_t capacity)
      : consumer_(consumer), ring_(capacity) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Must be set before the first TryPush.
  void SetHandler(std::function<void(T)> handler) {
    handler_ = std::move(handler);
  }

  // Called by the producer. Never blocks. Returns false and leaves `message`
  // unchanged if the queue is full.
  bool TryPush(T&& message) {
    if (!ring_.TryPush(std::move(message)))
      return false;
    if (!scheduled_.exchange(true, std::memory_order_acq_rel))
      boost::asio::post(consumer_, [this] { HandleBatch(); });
    return true;
  }

  // Called by the producer.
  std::size_t FreeSlots() const { return ring_.FreeSlots(); }

 private:
  // Limits the messages of a batch, so that the consumer's sockets and timers
  // are served between batches.
  static constexpr std::size_t kMaxBatchMessages = 256;

  void HandleBatch() {
    T message{};
    for (std::size_t n = 0; n < kMaxBatchMessages; ++n) {
      if (!ring_.TryPop(message)) {
        scheduled_.store(false, std::memory_order_release);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        // A message that was pushed between the failed TryPop() and the store
        // did not wake the consumer.
        if (ring_.Empty() ||
            scheduled_.exchange(true, std::memory_order_acq_rel))
          return;
        continue;
      }
      handler_(std::move(message));
    }
    boost::asio::post(consumer_, [this] { HandleBatch(); });
  }

  boost::asio::io_context& consumer_;
  SpscRing<T> ring_;
  std::atomic<bool> scheduled_{false};
  std::function<void(T)> handler_;
};

}  // namespace jujubecove

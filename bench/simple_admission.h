#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>
#include <utility>

#include "admission/admission_queue.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Baseline for comparison: a bounded FIFO or LIFO queue with a fixed in-flight
// limit that ignores urgency.
class SimpleAdmission : public AdmissionQueue {
 public:
  enum class Order { kFirstInFirstOut, kLastInFirstOut };

  SimpleAdmission(TimerService& timers, Order order)
      : timers_(timers), order_(order) {}

  void SetHandlers(AdmitHandler admit, RefuseHandler refuse) override {
    admit_ = std::move(admit);
    refuse_ = std::move(refuse);
  }
  void SetDocument(const Document& document,
                   std::size_t live_daemons) override {
    const ServiceSpec& spec = document.services.begin()->second;
    in_flight_limit_ =
        std::max<std::size_t>(1, 2 * spec.replicas * spec.slots / live_daemons);
  }
  void Offer(const AdmissionRequest& admission_request) override {
    if (queue_.size() >= kMaxQueued) {
      refuse_(admission_request.request, ErrorKind::kOverloaded);
      return;
    }
    queue_.push_back(admission_request);
    AdmitQueued();
  }
  bool CancelQueued(RequestId) override { return false; }
  void OnQueryFinished(RequestId, const AdmissionFeedback&) override {
    --in_flight_;
    AdmitQueued();
  }
  std::size_t queued() const override { return queue_.size(); }

 private:
  static constexpr std::size_t kMaxQueued = 1024;

  void AdmitQueued() {
    while (in_flight_ < in_flight_limit_ && !queue_.empty()) {
      bool fifo = order_ == Order::kFirstInFirstOut;
      AdmissionRequest admission_request =
          fifo ? queue_.front() : queue_.back();
      queue_.erase(fifo ? queue_.begin() : std::prev(queue_.end()));
      if (admission_request.deadline <= timers_.Now()) {
        refuse_(admission_request.request, ErrorKind::kDeadlineUnmeetable);
        continue;
      }
      ++in_flight_;
      admit_(admission_request.request);
    }
  }

  TimerService& timers_;
  Order order_;
  std::size_t in_flight_limit_ = 1;
  std::size_t in_flight_ = 0;
  std::deque<AdmissionRequest> queue_;
  AdmitHandler admit_;
  RefuseHandler refuse_;
};

}  // namespace jujubecove

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "admission/make_admission_queue.h"
#include "base/random.h"
#include "kernel/fake_timer_service.h"

namespace jujubecove {

// How queries reach the simulated service.
enum class AdmissionPolicy : std::uint8_t {
  // Every query is sent at once.
  kNone,
  kQueue,
};

struct OverloadOptions {
  AdmissionPolicy policy = AdmissionPolicy::kQueue;
  // Offered load as a multiple of the service's capacity.
  double load = 1;
  double urgent_share = 0.2;
  std::size_t daemons = 4;
  // Slots according to the document; the service may have fewer or more.
  std::uint32_t declared_slots = 2;
  std::uint32_t slots = 2;
  Duration run{20'000'000};
  // Whether outcomes are reported to the queues, so that limits adapt.
  bool feedback = true;
  // The document's latency as a multiple of the actual one.
  double declared_latency_factor = 1;
  std::function<std::unique_ptr<AdmissionQueue>(TimerService&)> make_queue =
      MakeAdmissionQueue;
  std::uint64_t seed = 1;
};

struct OverloadResult {
  std::size_t urgent = 0;
  std::size_t urgent_answered = 0;
  Duration urgent_p99{};
  // Queries of any urgency that were answered within the deadline.
  std::size_t answered = 0;
  std::size_t refused = 0;
  // Admitted, but not answered within the deadline.
  std::size_t late = 0;
};

// Simulates daemons in front of one pool of slots, on a fake clock. The pool
// refuses requests when its queue is full; a refused query is retried until its
// deadline.
class SimulatedService {
 public:
  explicit SimulatedService(const OverloadOptions& options)
      : options_(options),
        random_(options.seed),
        service_time_(std::log(10'000.0) - 0.08, 0.4) {
    Document document;
    ServiceSpec& spec = document.services[service_];
    spec.name = service_;
    spec.replicas = kReplicas;
    spec.slots = options.declared_slots;
    spec.expected_latency = Duration(
        static_cast<Duration::rep>(10'000 * options.declared_latency_factor));
    for (std::size_t n = 0; n < options.daemons; ++n) {
      queues_.push_back(options.make_queue(timers_));
      queues_[n]->SetHandlers([this](RequestId id) { SendAttempt(id.value()); },
                              [this](RequestId id, ErrorKind) {
                                ++result_.refused;
                                queries_.erase(id.value());
                              });
      queues_[n]->SetDocument(document, options.daemons);
    }
  }

  OverloadResult Run() {
    ScheduleArrival();
    timers_.AdvanceTo(TimePoint(options_.run));
    stopped_ = true;
    timers_.AdvanceBy(2 * kDeadline);
    std::sort(urgent_latencies_.begin(), urgent_latencies_.end());
    if (!urgent_latencies_.empty())
      result_.urgent_p99 =
          urgent_latencies_[urgent_latencies_.size() * 99 / 100];
    return result_;
  }

 private:
  static constexpr Duration kDeadline{250'000};
  static constexpr Duration kRetryAfter{2'000};
  static constexpr std::uint32_t kReplicas = 3;
  static constexpr std::size_t kMaxWaitingPerSlot = 4;

  struct Query {
    std::size_t daemon = 0;
    bool urgent = false;
    TimePoint offered;
    TimePoint admitted;
    std::size_t attempts = 0;
  };

  std::size_t capacity() const { return kReplicas * options_.slots; }

  void ScheduleArrival() {
    if (stopped_)
      return;
    std::exponential_distribution<double> gap(
        options_.load * static_cast<double>(capacity()) / 10'000.0);
    timers_.ScheduleAfter(Duration(static_cast<Duration::rep>(gap(random_))),
                          [this] {
                            Arrive();
                            ScheduleArrival();
                          });
  }

  void Arrive() {
    std::uint64_t id = next_id_++;
    Query& query = queries_[id];
    query.daemon = random_() % options_.daemons;
    query.urgent = std::bernoulli_distribution(options_.urgent_share)(random_);
    query.offered = timers_.Now();
    result_.urgent += query.urgent ? 1 : 0;
    if (options_.policy == AdmissionPolicy::kNone) {
      SendAttempt(id);
      return;
    }
    AdmissionRequest admission_request;
    admission_request.request = RequestId(id);
    admission_request.service = service_;
    admission_request.caller = CallerName("c" + std::to_string(random_() % 5));
    admission_request.urgency =
        query.urgent ? Urgency::kCritical : Urgency::kNormal;
    admission_request.deadline = timers_.Now() + kDeadline;
    admission_request.expected_duration = Duration(15'000);
    queues_[query.daemon]->Offer(admission_request);
  }

  void SendAttempt(std::uint64_t id) {
    Query& query = queries_[id];
    if (query.attempts == 0)
      query.admitted = timers_.Now();
    if (timers_.Now() >= query.offered + kDeadline) {
      Finish(id, false);
      return;
    }
    ++query.attempts;
    if (running_ < capacity()) {
      ++running_;
      Serve(id);
    } else if (waiting_.size() < capacity() * kMaxWaitingPerSlot) {
      waiting_.push_back(id);
    } else {
      timers_.ScheduleAfter(kRetryAfter, [this, id] { SendAttempt(id); });
    }
  }

  void Serve(std::uint64_t id) {
    Duration time(static_cast<Duration::rep>(service_time_(random_)));
    timers_.ScheduleAfter(time, [this, id] {
      Finish(id, timers_.Now() <= queries_[id].offered + kDeadline);
      if (waiting_.empty()) {
        --running_;
        return;
      }
      std::uint64_t next = waiting_.front();
      waiting_.pop_front();
      Serve(next);
    });
  }

  void Finish(std::uint64_t id, bool in_time) {
    Query query = queries_[id];
    queries_.erase(id);
    Duration latency = timers_.Now() - query.offered;
    result_.answered += in_time ? 1 : 0;
    result_.late += in_time ? 0 : 1;
    if (query.urgent) {
      result_.urgent_answered += in_time ? 1 : 0;
      urgent_latencies_.push_back(latency);
    }
    if (options_.policy == AdmissionPolicy::kNone)
      return;
    AdmissionFeedback feedback;
    feedback.duration = timers_.Now() - query.admitted;
    if (options_.feedback) {
      feedback.attempts = query.attempts;
      feedback.refused = query.attempts - 1;
      feedback.met_deadline = in_time;
    }
    queues_[query.daemon]->OnQueryFinished(RequestId(id), feedback);
  }

  OverloadOptions options_;
  FakeTimerService timers_;
  RandomEngine random_;
  std::lognormal_distribution<double> service_time_;
  ServiceName service_{"service"};
  std::vector<std::unique_ptr<AdmissionQueue>> queues_;
  std::unordered_map<std::uint64_t, Query> queries_;
  std::deque<std::uint64_t> waiting_;
  std::size_t running_ = 0;
  std::uint64_t next_id_ = 1;
  bool stopped_ = false;
  std::vector<Duration> urgent_latencies_;
  OverloadResult result_;
};

}  // namespace jujubecove

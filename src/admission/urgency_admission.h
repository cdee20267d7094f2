#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/admission_queue.h"
#include "admission/in_flight_limit.h"
#include "admission/service_queue.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Admission by urgency under an adaptive limit for each service.
class UrgencyAdmission : public AdmissionQueue {
 public:
  explicit UrgencyAdmission(TimerService& timers) : timers_(timers) {}
  ~UrgencyAdmission() override;

  void SetHandlers(AdmitHandler admit, RefuseHandler refuse) override;
  void SetDocument(const Document& document, std::size_t live_daemons) override;
  void Offer(const AdmissionRequest& item) override;
  bool CancelQueued(RequestId request) override;
  void OnQueryFinished(RequestId request,
                       const AdmissionFeedback& feedback) override;
  std::size_t queued() const override { return queued_.size(); }

  // For metrics; 0 for an unknown service.
  std::size_t LimitOf(const ServiceName& service) const;

 private:
  struct Service {
    ServiceQueue queue;
    InFlightLimit limit;
    std::size_t in_flight = 0;
    bool declared = false;
    double expected_latency = 0;
    // Smoothed time that an admitted query takes, in microseconds; zero before
    // the first.
    double duration = 0;
    // Smoothed ratio of the time that queries take to the expected one.
    double stretch = 1;
  };
  struct Admitted {
    Service* service = nullptr;
    TimePoint admitted_at;
    Duration expected{};
  };
  struct Queued {
    Service* service = nullptr;
    TimePoint latest_start;
  };
  using Expiry = std::pair<TimePoint, RequestId>;

  // The expected duration, corrected by how much longer recent queries took.
  Duration PredictDuration(const Service& service,
                           const AdmissionRequest& item) const;
  Duration PredictWait(const Service& service,
                       const AdmissionRequest& item) const;
  void Observe(Service& service,
               const Admitted& admitted,
               Duration duration) const;
  Congestion Judge(const Service& service,
                   const AdmissionFeedback& feedback) const;
  void Admit(Service& service, RequestId request, Duration expected);
  void Enqueue(Service& service, const AdmissionRequest& item);
  void Pump(Service& service);
  // Forgets the bookkeeping of a query that left its queue.
  void Unlink(RequestId request);
  void Arm();
  void Expire();

  TimerService& timers_;
  AdmitHandler admit_;
  RefuseHandler refuse_;
  std::unordered_map<ServiceName, std::unique_ptr<Service>> services_;
  std::unordered_map<RequestId, Admitted> admitted_;
  std::unordered_map<RequestId, Queued> queued_;
  std::set<Expiry> expiries_;
  TimerId timer_;
  TimePoint timer_due_{};
  std::uint64_t next_order_ = 0;
};

}  // namespace jujubecove

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

// Admits queries by urgency, under an adaptive in-flight limit per service.
class UrgencyAdmission : public AdmissionQueue {
 public:
  explicit UrgencyAdmission(TimerService& timers) : timers_(timers) {}
  ~UrgencyAdmission() override;

  void SetHandlers(AdmitHandler admit, RefuseHandler refuse) override;
  void SetDocument(const Document& document, std::size_t live_daemons) override;
  void Offer(const AdmissionRequest& admission_request) override;
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
    bool in_document = false;
    double expected_latency = 0;
    // Smoothed duration of admitted queries in microseconds; 0 before the
    // first.
    double duration = 0;
    // Smoothed ratio of actual to expected duration.
    double duration_ratio = 1;
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

  // The expected duration, scaled by `duration_ratio`.
  Duration PredictDuration(const Service& service,
                           const AdmissionRequest& admission_request) const;
  Duration PredictWait(const Service& service,
                       const AdmissionRequest& admission_request) const;
  void UpdateDurationEstimates(Service& service,
                               const Admitted& admitted,
                               Duration duration) const;
  Congestion DetectCongestion(const Service& service,
                              const AdmissionFeedback& feedback) const;
  void Admit(Service& service, RequestId request, Duration expected);
  void Enqueue(Service& service, const AdmissionRequest& admission_request);
  void AdmitQueued(Service& service);
  // Erases the entries of a query that was taken out of its service's queue.
  void EraseQueued(RequestId request);
  void ScheduleExpiry();
  void RefuseExpired();

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

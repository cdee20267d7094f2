#include "admission/urgency_admission.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace jujubecove {
namespace {

// Twice the document's slots: while one query waits for its last shard, its
// other slots are free.
constexpr double kInitialLimitFactor = 2;
// Bounds memory; usually the deadlines keep the queue shorter.
constexpr std::size_t kMaxQueued = 1024;
constexpr double kDurationWeight = 0.1;
// Bounds the correction of expected durations, so that a few very slow queries
// do not make every deadline look unmeetable.
constexpr double kMaxDurationRatio = 4;
// A larger share of refused attempts shows congestion.
constexpr double kMaxRefusedShare = 0.05;
// A smoothed duration above this multiple of the document's latency shows that
// requests queue at the searchers. A query is as slow as its slowest shard,
// about three times a single request. The bound must be the same in all
// daemons: when each used the shortest duration that it had seen, those that
// had seen a short one yielded all capacity to the others.
constexpr double kCongestedLatencyFactor = 5;

}  // namespace

UrgencyAdmission::~UrgencyAdmission() {
  timers_.Cancel(timer_);
}

void UrgencyAdmission::SetHandlers(AdmitHandler admit, RefuseHandler refuse) {
  admit_ = std::move(admit);
  refuse_ = std::move(refuse);
}

void UrgencyAdmission::SetDocument(const Document& document,
                                   std::size_t live_daemons) {
  for (auto& [name, service] : services_)
    service->in_document = false;
  double daemons = static_cast<double>(std::max<std::size_t>(live_daemons, 1));
  for (const auto& [name, spec] : document.services) {
    std::unique_ptr<Service>& service = services_[name];
    if (!service)
      service = std::make_unique<Service>();
    service->in_document = true;
    service->expected_latency =
        static_cast<double>(spec.expected_latency.count());
    service->limit.Configure(kInitialLimitFactor * spec.replicas * spec.slots /
                             daemons);
  }
  // The handlers may call back and change `services_`, so iterate over a copy.
  std::vector<Service*> all;
  for (auto& [name, service] : services_)
    all.push_back(service.get());
  for (Service* service : all)
    AdmitQueued(*service);
}

void UrgencyAdmission::Offer(const AdmissionRequest& admission_request) {
  auto it = services_.find(admission_request.service);
  if (it == services_.end() || !it->second->in_document) {
    refuse_(admission_request.request, ErrorKind::kNoUpstream);
    return;
  }
  Service& service = *it->second;
  TimePoint now = timers_.Now();
  Duration wait = PredictWait(service, admission_request);
  if (now + wait + PredictDuration(service, admission_request) >
      admission_request.deadline) {
    refuse_(admission_request.request, ErrorKind::kDeadlineUnmeetable);
    return;
  }
  if (service.queue.size() == 0 && service.in_flight < service.limit.limit()) {
    Admit(service, admission_request.request,
          admission_request.expected_duration);
    return;
  }
  std::optional<QueuedQuery> evicted;
  if (service.queue.size() >= kMaxQueued) {
    evicted = service.queue.EvictLessUrgent(admission_request.urgency);
    if (!evicted) {
      refuse_(admission_request.request, ErrorKind::kOverloaded);
      return;
    }
    EraseQueued(evicted->admission_request.request);
  }
  Enqueue(service, admission_request);
  if (evicted)
    refuse_(evicted->admission_request.request, ErrorKind::kOverloaded);
}

Duration UrgencyAdmission::PredictDuration(
    const Service& service,
    const AdmissionRequest& admission_request) const {
  double duration_ratio =
      std::clamp(service.duration_ratio, 1.0, kMaxDurationRatio);
  return Duration(static_cast<Duration::rep>(
      duration_ratio *
      static_cast<double>(admission_request.expected_duration.count())));
}

Duration UrgencyAdmission::PredictWait(
    const Service& service,
    const AdmissionRequest& admission_request) const {
  if (service.queue.size() == 0 && service.in_flight < service.limit.limit())
    return Duration(0);
  double per_query =
      service.duration > 0
          ? service.duration
          : static_cast<double>(admission_request.expected_duration.count());
  double ahead = static_cast<double>(service.queue.CountAhead(
      admission_request.urgency, admission_request.caller));
  return Duration(static_cast<Duration::rep>(
      ahead * per_query / static_cast<double>(service.limit.limit())));
}

void UrgencyAdmission::Admit(Service& service,
                             RequestId request,
                             Duration expected) {
  ++service.in_flight;
  admitted_[request] = Admitted{&service, timers_.Now(), expected};
  admit_(request);
}

void UrgencyAdmission::Enqueue(Service& service,
                               const AdmissionRequest& admission_request) {
  TimePoint latest =
      admission_request.deadline - PredictDuration(service, admission_request);
  QueuedQuery query{admission_request, timers_.Now(), next_order_++, latest};
  queued_[admission_request.request] = Queued{&service, latest};
  expiries_.emplace(latest, admission_request.request);
  service.queue.Push(std::move(query));
  ScheduleExpiry();
}

void UrgencyAdmission::EraseQueued(RequestId request) {
  auto it = queued_.find(request);
  expiries_.erase(Expiry(it->second.latest_start, request));
  queued_.erase(it);
}

bool UrgencyAdmission::CancelQueued(RequestId request) {
  auto it = queued_.find(request);
  if (it == queued_.end())
    return false;
  it->second.service->queue.Remove(request);
  EraseQueued(request);
  return true;
}

void UrgencyAdmission::UpdateDurationEstimates(Service& service,
                                               const Admitted& admitted,
                                               Duration taken) const {
  double duration = std::max(1.0, static_cast<double>(taken.count()));
  if (service.duration == 0)
    service.duration = duration;
  service.duration += kDurationWeight * (duration - service.duration);
  if (admitted.expected <= Duration(0))
    return;
  double ratio = duration / static_cast<double>(admitted.expected.count());
  service.duration_ratio += kDurationWeight * (ratio - service.duration_ratio);
}

Congestion UrgencyAdmission::DetectCongestion(
    const Service& service,
    const AdmissionFeedback& feedback) const {
  double bound = kCongestedLatencyFactor * service.expected_latency;
  // A query that was admitted with little time left may be late without
  // congestion.
  bool late = !feedback.met_deadline &&
              static_cast<double>(feedback.duration.count()) > bound;
  if (late || static_cast<double>(feedback.refused) >
                  kMaxRefusedShare * static_cast<double>(feedback.attempts))
    return Congestion::kRefused;
  return service.duration > bound ? Congestion::kSlow : Congestion::kNone;
}

void UrgencyAdmission::OnQueryFinished(RequestId request,
                                       const AdmissionFeedback& feedback) {
  auto it = admitted_.find(request);
  if (it == admitted_.end())
    return;
  Admitted admitted = it->second;
  admitted_.erase(it);
  Service& service = *admitted.service;
  UpdateDurationEstimates(service, admitted, feedback.duration);
  Congestion congestion = DetectCongestion(service, feedback);
  service.limit.OnFinished(service.in_flight, congestion, admitted.admitted_at,
                           timers_.Now());
  --service.in_flight;
  AdmitQueued(service);
}

void UrgencyAdmission::AdmitQueued(Service& service) {
  while (service.in_flight < service.limit.limit()) {
    std::optional<QueuedQuery> query = service.queue.Pop();
    if (!query)
      return;
    RequestId request = query->admission_request.request;
    EraseQueued(request);
    if (query->latest_start < timers_.Now())
      refuse_(request, ErrorKind::kDeadlineUnmeetable);
    else
      Admit(service, request, query->admission_request.expected_duration);
  }
}

void UrgencyAdmission::ScheduleExpiry() {
  if (expiries_.empty())
    return;
  TimePoint due = expiries_.begin()->first;
  if (timer_.value() != 0 && timer_due_ <= due)
    return;
  timers_.Cancel(timer_);
  timer_due_ = due;
  // At the latest start itself a query may still be admitted.
  timer_ = timers_.ScheduleAt(due + Duration(1), [this] {
    timer_ = TimerId();
    RefuseExpired();
  });
}

void UrgencyAdmission::RefuseExpired() {
  while (!expiries_.empty() && expiries_.begin()->first < timers_.Now()) {
    RequestId request = expiries_.begin()->second;
    CancelQueued(request);
    refuse_(request, ErrorKind::kDeadlineUnmeetable);
  }
  ScheduleExpiry();
}

std::size_t UrgencyAdmission::LimitOf(const ServiceName& service) const {
  auto it = services_.find(service);
  return it == services_.end() ? 0 : it->second->limit.limit();
}

}  // namespace jujubecove

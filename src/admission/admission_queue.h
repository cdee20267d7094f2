#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/units.h"
#include "document/document.h"

namespace jujubecove {

// A query that asks to be admitted.
struct AdmissionRequest {
  RequestId request;
  ServiceName service;
  CallerName caller;
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  // Time that the query needs once it is admitted.
  Duration expected_duration{};
};

// How an admitted query ended, from which the in-flight limit adapts.
struct AdmissionFeedback {
  Duration duration{};
  // Attempts that searchers refused as busy, or that waited for a free replica.
  std::size_t refused = 0;
  std::size_t attempts = 0;
  bool met_deadline = true;
};

// Bounds the queries in flight for each service and queues the rest by urgency.
class AdmissionQueue {
 public:
  // Called when a queued query is admitted.
  using AdmitHandler = std::function<void(RequestId)>;
  // Called when a queued query is refused; it did not run.
  using RefuseHandler = std::function<void(RequestId, ErrorKind)>;

  virtual ~AdmissionQueue() = default;

  virtual void SetHandlers(AdmitHandler admit, RefuseHandler refuse) = 0;
  virtual void SetDocument(const Document& document,
                           std::size_t live_daemons) = 0;
  // Exactly one of the handlers follows, possibly from within the call.
  virtual void Offer(const AdmissionRequest& item) = 0;
  // The caller went away: the query leaves the queue without a handler call.
  // False when it is not queued.
  virtual bool CancelQueued(RequestId request) = 0;
  // An admitted query ended.
  virtual void OnQueryFinished(RequestId request,
                               const AdmissionFeedback& feedback) = 0;
  virtual std::size_t queued() const = 0;
};

}  // namespace jujubecove

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

struct AdmissionRequest {
  RequestId request;
  ServiceName service;
  CallerName caller;
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  // Estimated time from admission to the answer.
  Duration expected_duration{};
};

// Outcome of an admitted query, by which the in-flight limit is adapted.
struct AdmissionFeedback {
  Duration duration{};
  // Attempts that a searcher refused as busy or that waited for a replica.
  std::size_t refused = 0;
  std::size_t attempts = 0;
  bool met_deadline = true;
};

// Limits the queries in flight for each service and queues the rest by urgency.
class AdmissionQueue {
 public:
  // Called when a query is admitted.
  using AdmitHandler = std::function<void(RequestId)>;
  // Called when a query is refused; it did not run.
  using RefuseHandler = std::function<void(RequestId, ErrorKind)>;

  virtual ~AdmissionQueue() = default;

  virtual void SetHandlers(AdmitHandler admit, RefuseHandler refuse) = 0;
  virtual void SetDocument(const Document& document,
                           std::size_t live_daemons) = 0;
  // Calls exactly one of the handlers, now or later, unless the query is
  // cancelled first.
  virtual void Offer(const AdmissionRequest& admission_request) = 0;
  // Removes a queued query without a handler call, for a caller that
  // disconnected. False if the query is not queued.
  virtual bool CancelQueued(RequestId request) = 0;
  // Must be called when an admitted query ends.
  virtual void OnQueryFinished(RequestId request,
                               const AdmissionFeedback& feedback) = 0;
  virtual std::size_t queued() const = 0;
};

}  // namespace jujubecove

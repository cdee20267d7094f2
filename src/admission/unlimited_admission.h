#pragma once

#include <utility>

#include "admission/admission_queue.h"

namespace jujubecove {

// Admits every query at once; the baseline for experiments.
class UnlimitedAdmission : public AdmissionQueue {
 public:
  void SetHandlers(AdmitHandler admit, RefuseHandler) override {
    admit_ = std::move(admit);
  }
  void SetDocument(const Document&, std::size_t) override {}
  void Offer(const AdmissionRequest& admission_request) override {
    admit_(admission_request.request);
  }
  bool CancelQueued(RequestId) override { return false; }
  void OnQueryFinished(RequestId, const AdmissionFeedback&) override {}
  std::size_t queued() const override { return 0; }

 private:
  AdmitHandler admit_;
};

}  // namespace jujubecove

#include "admission/make_admission_queue.h"

#include "admission/urgency_admission.h"

namespace jujubecove {

std::unique_ptr<AdmissionQueue> MakeAdmissionQueue(TimerService& timers) {
  return std::make_unique<UrgencyAdmission>(timers);
}

}  // namespace jujubecove

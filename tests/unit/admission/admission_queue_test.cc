#include "admission/admission_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/make_admission_queue.h"
#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

class AdmissionQueueTest : public testing::Test {
 protected:
  AdmissionQueueTest() : queue_(MakeAdmissionQueue(timers_)) {
    queue_->SetHandlers(
        [this](RequestId id) { admitted_.push_back(id.value()); },
        [this](RequestId id, ErrorKind kind) { refused_[id.value()] = kind; });
    ServiceSpec spec;
    spec.name = service_;
    document_.services[service_] = spec;
    // 2 x 1 replica x 1 slot / 2 daemons: one query in flight.
    queue_->SetDocument(document_, 2);
  }

  AdmissionItem MakeItem(std::uint64_t id,
                         Urgency urgency = Urgency::kNormal,
                         const std::string& caller = "a") const {
    AdmissionItem item;
    item.request = RequestId(id);
    item.service = service_;
    item.caller = CallerName(caller);
    item.urgency = urgency;
    item.deadline = timers_.Now() + Duration(1'000'000'000);
    item.expected_duration = Duration(10'000);
    return item;
  }

  // Ends the oldest admitted query that has not ended.
  void FinishOne() {
    queue_->Finished(RequestId(admitted_[finished_++]),
                     AdmissionFeedback{Duration(10'000), 0, 1, true});
  }

  ServiceName service_{"weighbridge"};
  FakeTimerService timers_;
  Document document_;
  std::unique_ptr<AdmissionQueue> queue_;
  std::vector<std::uint64_t> admitted_;
  std::size_t finished_ = 0;
  std::map<std::uint64_t, ErrorKind> refused_;
};

// Guards against queueing while the service is idle, and against admitting more
// than the limit.
TEST_F(AdmissionQueueTest, AdmitsUpToTheLimit) {
  queue_->Offer(MakeItem(1));
  queue_->Offer(MakeItem(2));
  EXPECT_EQ(admitted_, (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(queue_->queued(), 1U);
  FinishOne();
  EXPECT_EQ(admitted_, (std::vector<std::uint64_t>{1, 2}));
}

// Guards against a less urgent query overtaking a more urgent one.
TEST_F(AdmissionQueueTest, ServesTheMostUrgentFirst) {
  queue_->Offer(MakeItem(1));
  queue_->Offer(MakeItem(2, Urgency::kBackground));
  queue_->Offer(MakeItem(3, Urgency::kCritical));
  FinishOne();
  EXPECT_EQ(admitted_.at(1), 3U);
}

}  // namespace
}  // namespace jujubecove

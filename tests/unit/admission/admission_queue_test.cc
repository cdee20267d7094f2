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

  AdmissionRequest MakeRequest(std::uint64_t id,
                               Urgency urgency = Urgency::kNormal,
                               const std::string& caller = "a") const {
    AdmissionRequest admission_request;
    admission_request.request = RequestId(id);
    admission_request.service = service_;
    admission_request.caller = CallerName(caller);
    admission_request.urgency = urgency;
    admission_request.deadline = timers_.Now() + Duration(1'000'000'000);
    admission_request.expected_duration = Duration(10'000);
    return admission_request;
  }

  // Finishes the oldest admitted query that is still running.
  void FinishOne() {
    queue_->OnQueryFinished(RequestId(admitted_[finished_++]),
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
TEST_F(AdmissionQueueTest, AdmitsUpToLimitAndQueuesTheRest) {
  queue_->Offer(MakeRequest(1));
  queue_->Offer(MakeRequest(2));
  EXPECT_EQ(admitted_, (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(queue_->queued(), 1U);
  FinishOne();
  EXPECT_EQ(admitted_, (std::vector<std::uint64_t>{1, 2}));
}

// Guards against a less urgent query overtaking a more urgent one.
TEST_F(AdmissionQueueTest, AdmitsMostUrgentFirst) {
  queue_->Offer(MakeRequest(1));
  queue_->Offer(MakeRequest(2, Urgency::kBackground));
  queue_->Offer(MakeRequest(3, Urgency::kCritical));
  FinishOne();
  EXPECT_EQ(admitted_.at(1), 3U);
}

// Guards against a caller with many queries that starves other callers of the
// same urgency.
TEST_F(AdmissionQueueTest, AdmitsCallersRoundRobin) {
  queue_->Offer(MakeRequest(1));
  for (std::uint64_t id : {2, 3, 4})
    queue_->Offer(MakeRequest(id, Urgency::kNormal, "busy"));
  queue_->Offer(MakeRequest(5, Urgency::kNormal, "b"));
  queue_->Offer(MakeRequest(6, Urgency::kNormal, "c"));
  while (finished_ < admitted_.size())
    FinishOne();
  EXPECT_EQ(admitted_, (std::vector<std::uint64_t>{1, 2, 5, 6, 3, 4}));
}

// Guards against queueing a query that can't be answered in time.
TEST_F(AdmissionQueueTest, RefusesQueryWithUnmeetableDeadline) {
  AdmissionRequest admission_request = MakeRequest(1);
  admission_request.deadline =
      timers_.Now() + admission_request.expected_duration - Duration(1);
  queue_->Offer(admission_request);
  EXPECT_EQ(refused_.at(1), ErrorKind::kDeadlineUnmeetable);
  queue_->Offer(MakeRequest(2));
  for (std::uint64_t id = 3; id < 8; ++id)
    queue_->Offer(MakeRequest(id));
  admission_request = MakeRequest(8);
  admission_request.deadline = timers_.Now() + Duration(40'000);
  queue_->Offer(admission_request);
  EXPECT_EQ(refused_.at(8), ErrorKind::kDeadlineUnmeetable)
      << "five queries of 10 ms are ahead of it";
  admission_request = MakeRequest(9, Urgency::kCritical);
  admission_request.deadline = timers_.Now() + Duration(40'000);
  queue_->Offer(admission_request);
  EXPECT_EQ(refused_.count(9), 0U) << "no query is ahead of it";
}

// Guards against keeping a query in the queue whose deadline can't be met any
// more.
TEST_F(AdmissionQueueTest, RefusesQueuedQueryWhenDeadlineBecomesUnmeetable) {
  queue_->Offer(MakeRequest(1));
  AdmissionRequest admission_request = MakeRequest(2);
  admission_request.deadline = timers_.Now() + Duration(50'000);
  queue_->Offer(admission_request);
  timers_.AdvanceBy(Duration(40'000));
  EXPECT_EQ(refused_.count(2), 0U);
  timers_.AdvanceBy(Duration(1));
  EXPECT_EQ(refused_.at(2), ErrorKind::kDeadlineUnmeetable);
  EXPECT_EQ(queue_->queued(), 0U);
  EXPECT_TRUE(timers_.empty());
}

// Guards against a full queue that refuses urgent queries and keeps less urgent
// ones.
TEST_F(AdmissionQueueTest, FullQueueEvictsNewestOfLowestUrgency) {
  queue_->Offer(MakeRequest(1));
  queue_->Offer(MakeRequest(2, Urgency::kBackground));
  std::uint64_t id = 3;
  while (refused_.empty())
    queue_->Offer(MakeRequest(id++, Urgency::kNormal));
  EXPECT_EQ(refused_.begin()->first, 2U) << "the only one of lower urgency";
  refused_.clear();
  queue_->Offer(MakeRequest(id, Urgency::kNormal));
  EXPECT_EQ(refused_.at(id), ErrorKind::kOverloaded);
  queue_->Offer(MakeRequest(id + 1, Urgency::kHigh));
  EXPECT_EQ(refused_.at(id - 1), ErrorKind::kOverloaded);
}

// Guards against starving less urgent queries, and against giving them more
// than one admission in twenty.
TEST_F(AdmissionQueueTest, AdmitsLessUrgentQueryOnceInTwenty) {
  queue_->Offer(MakeRequest(1));
  queue_->Offer(MakeRequest(2, Urgency::kBackground));
  queue_->Offer(MakeRequest(3, Urgency::kNormal));
  for (std::uint64_t id = 100; id < 160; ++id)
    queue_->Offer(MakeRequest(id, Urgency::kCritical));
  while (finished_ < admitted_.size())
    FinishOne();
  ASSERT_EQ(admitted_.size(), 63U);
  EXPECT_EQ(admitted_[20], 2U) << "the longest-waiting one";
  EXPECT_EQ(admitted_[40], 3U);
  EXPECT_EQ(admitted_[60], 157U);
}

// Guards against admitting or refusing a cancelled query.
TEST_F(AdmissionQueueTest, CancelledQueryIsNeitherAdmittedNorRefused) {
  queue_->Offer(MakeRequest(1));
  queue_->Offer(MakeRequest(2));
  EXPECT_TRUE(queue_->CancelQueued(RequestId(2)));
  EXPECT_FALSE(queue_->CancelQueued(RequestId(2)));
  EXPECT_FALSE(queue_->CancelQueued(RequestId(1)));
  FinishOne();
  EXPECT_EQ(admitted_.size(), 1U);
  EXPECT_TRUE(refused_.empty());
}

// Guards against queueing a query of an undeclared service for ever.
TEST_F(AdmissionQueueTest, RefusesUndeclaredService) {
  AdmissionRequest admission_request = MakeRequest(1);
  admission_request.service = ServiceName("unknown");
  queue_->Offer(admission_request);
  EXPECT_EQ(refused_.at(1), ErrorKind::kNoUpstream);
}

// Guards against corrupt state when a handler calls the queue.
TEST_F(AdmissionQueueTest, HandlersMayReenterQueue) {
  queue_->SetHandlers(
      [this](RequestId id) {
        admitted_.push_back(id.value());
        if (id.value() > 1)
          FinishOne();
      },
      [](RequestId, ErrorKind) {});
  for (std::uint64_t id = 1; id <= 50; ++id)
    queue_->Offer(MakeRequest(id));
  FinishOne();
  EXPECT_EQ(admitted_.size(), 50U);
  EXPECT_EQ(queue_->queued(), 0U);
}

}  // namespace
}  // namespace jujubecove

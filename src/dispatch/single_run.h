#pragma once

#include <optional>
#include <vector>

#include "dispatch/request_run.h"

namespace jujubecove {

// Passes a request on to one searcher of a service and its reply back. A
// request that must not run twice is sent again only after proof that it has
// not run; one that may run again is hedged when its reply is slow.
class SingleRun : public RequestRun {
 public:
  SingleRun(RunContext& context,
            RunSubject subject,
            std::shared_ptr<ServicePool> pool,
            AnswerHandler done);

 protected:
  void Start() override;
  void DetachAll(Duration grace) override;
  void OnTimer() override;
  void Describe(DecisionLine& line) const override;

 private:
  bool LaunchNext();
  void OnReply(AttemptId attempt, AttemptReply reply);
  // Sends the request to another searcher if that is allowed and possible.
  bool TryAgain(AttemptResult outcome);
  void AnswerFailure(AttemptReply reply);
  void ScheduleWake();
  bool MayHedge() const;

  std::shared_ptr<ServicePool> pool_;
  std::vector<PooledSearcherPtr> tried_;
  std::vector<RunningAttempt> running_;
  int sent_ = 0;
  TimePoint hedge_at_;
  // Whether any attempt may have run.
  bool may_have_run_ = false;
};

}  // namespace jujubecove

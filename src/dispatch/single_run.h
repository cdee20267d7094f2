#pragma once

#include <optional>
#include <vector>

#include "dispatch/request_run.h"

namespace jujubecove {

// Forwards a request to one searcher of a service and returns its reply. A
// non-idempotent request is retried only if it is certain not to have run; an
// idempotent one is retried after any failure and hedged if its reply is slow.
class SingleRun : public RequestRun {
 public:
  SingleRun(RunContext& context,
            RoutedRequest routed,
            std::shared_ptr<ServicePool> pool,
            AnswerHandler done);

 protected:
  void Start() override;
  void DetachAll(Duration grace) override;
  void OnTimer() override;
  bool MayHaveRun() const override;
  void AnswerNow(const std::string& reason) override;
  void Describe(DecisionLine& line) const override;

 private:
  bool LaunchNext();
  void OnReply(AttemptId attempt, AttemptReply reply);
  // Returns whether the request was sent to another searcher.
  bool RetryIfAllowed(AttemptResult outcome);
  void AnswerFailure(AttemptReply reply);
  void UpdateTimer();
  bool MayHedge() const;

  std::shared_ptr<ServicePool> pool_;
  std::vector<PooledSearcherPtr> tried_;
  std::vector<LaunchedAttempt> in_flight_;
  int sent_ = 0;
  TimePoint hedge_at_;
  // Whether an attempt that has ended may have run.
  bool may_have_run_ = false;
};

}  // namespace jujubecove

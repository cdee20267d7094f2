#pragma once

#include <vector>

#include "dispatch/request_run.h"

namespace jujubecove {

// Asks one searcher of every shard of a route and merges the greatest records
// of the parts. It hedges slow shards, and answers without the last ones when
// waiting for them would miss the route's target.
class ScatterRun : public RequestRun {
 public:
  using PoolPtr = std::shared_ptr<ServicePool>;

  // One pool for each shard of the route, in order.
  ScatterRun(RunContext& context,
             RunSubject subject,
             const std::vector<PoolPtr>& pools,
             AnswerHandler done);

 protected:
  void Start() override;
  void DetachAll(Duration grace) override;
  void OnTimer() override;
  void Describe(DecisionLine& line) const override;

 private:
  struct Shard {
    PoolPtr pool;
    std::vector<PooledSearcherPtr> tried;
    std::vector<RunningAttempt> running;
    // Attempts that may have reached a searcher.
    int sent = 0;
    TimePoint hedge_at;
    bool answered = false;
    // The repeat budget denied a further attempt.
    bool budget_denied = false;
    // No further attempt is possible and none is running.
    bool lost = false;
    AttemptReply part;
    std::string last_failure;
  };

  bool LaunchNext(std::size_t index);
  // Until when a part is of use: an answer without it can be in time.
  TimePoint UsefulUntil() const;
  void OnReply(std::size_t index, AttemptId attempt, AttemptReply reply);
  void AcceptPart(Shard& shard,
                  const PooledSearcher& searcher,
                  AttemptReply reply);
  void RetryOrLose(std::size_t index);
  void Hedge(std::size_t index);
  bool IsHedgeDue(const Shard& shard) const;
  void ScheduleWake();
  // Answers if the parts suffice for now, or if they can't suffice any more.
  void CheckProgress();
  void AnswerWithParts();
  void FailShort(const std::string& reason);
  std::size_t required() const;

  std::vector<Shard> shards_;
  std::size_t answered_ = 0;
  std::size_t lost_ = 0;
  int hedges_ = 0;
  // The part that came last, with the time that it took.
  std::string last_part_searcher_;
  Duration last_part_took_{};
  // Whether any attempt may have run.
  bool anything_sent_ = false;
};

}  // namespace jujubecove

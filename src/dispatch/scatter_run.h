#pragma once

#include <optional>
#include <vector>

#include "dispatch/request_run.h"

namespace jujubecove {

// Sends a request to one searcher of every shard and merges the top records of
// their replies. Slow shards are hedged. At the route's target latency it
// answers without the shards that are still missing, if the route allows that.
class ScatterRun : public RequestRun {
 public:
  using PoolPtr = std::shared_ptr<ServicePool>;

  // `pools` has one pool per shard, in the order of the route.
  ScatterRun(RunContext& context,
             RoutedRequest routed,
             const std::vector<PoolPtr>& pools,
             AnswerHandler done);

 protected:
  void Start() override;
  void DetachAll(Duration grace) override;
  void OnTimer() override;
  bool MayHaveRun() const override;
  void AnswerNow(const std::string& reason) override;
  void Describe(DecisionLine& line) const override;

 private:
  struct Shard {
    PoolPtr pool;
    std::vector<PooledSearcherPtr> tried;
    std::vector<LaunchedAttempt> in_flight;
    // Attempts, without those that were never written to a connection.
    int sent = 0;
    TimePoint hedge_at;
    bool answered = false;
    // The retry budget denied a retry.
    bool budget_denied = false;
    // None of the attempts succeeded, and no further one is possible.
    bool failed = false;
    AttemptReply part;
    std::string last_failure;
  };

  bool LaunchNext(std::size_t index);
  // The target time if the answer can do without one more part, otherwise the
  // request's deadline.
  TimePoint PartDeadline() const;
  void OnReply(std::size_t index, AttemptId attempt, AttemptReply reply);
  void AcceptPart(Shard& shard,
                  const PooledSearcher& searcher,
                  AttemptReply reply);
  void RetryOrMarkFailed(std::size_t index);
  void Hedge(std::size_t index);
  bool MayHedge(const Shard& shard) const;
  void UpdateTimer();
  void CheckOverdue();
  // Answers once there are enough parts to do so now, or fails once there can't
  // be enough any more.
  void FinishIfDecided();
  void AnswerWithParts();
  void FailWithTooFewParts(const std::string& reason);
  std::size_t required() const;
  std::optional<Duration> WaitForRequiredShards() const;
  std::size_t CountReachable() const;
  // `wait` is the time until enough shards have an available searcher.
  void RefuseForLackOfShards(std::optional<Duration> wait);

  std::vector<Shard> shards_;
  std::size_t answered_shards_ = 0;
  std::size_t failed_shards_ = 0;
  // When the attempts in flight are checked for signs of a partition.
  TimePoint overdue_check_at_{};
  int hedges_ = 0;
  // Searcher and time, since the request was received, of the latest part.
  std::string last_part_searcher_;
  Duration last_part_took_{};
  // Whether an attempt that has ended may have run.
  bool may_have_run_ = false;
};

}  // namespace jujubecove

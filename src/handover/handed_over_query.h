#pragma once

#include <functional>
#include <memory>
#include <string>

#include "handover/handover_metrics.h"
#include "handover/handover_policy.h"
#include "handover/local_runs.h"

namespace jujubecove {

// Dependencies that all queries share.
struct HandoverContext {
  TimerService& timers;
  SearcherTransport& transport;
  LocalRuns& runs;
  HandoverPolicy& policy;
  DecisionLog& log;
  HandoverMetrics& metrics;
  // Closes the idle connections to a peer, which may be silent too.
  std::function<void(const SearcherEntry& peer)> reset_connections;
};

// A caller's query that another VM of the zone runs. If that VM provably does
// not run it, this VM does at once. Otherwise it never does: the other VM may
// have sent its parts to as many searchers as are allowed.
class HandedOverQuery : public PendingRequest,
                        public std::enable_shared_from_this<HandedOverQuery> {
 public:
  using AnswerHandler = RequestRun::AnswerHandler;

  HandedOverQuery(HandoverContext& context,
                  ForwardedRequestPtr request,
                  HandoverQuery query,
                  HandoverChoice choice,
                  SearcherEntry peer,
                  AnswerHandler done);
  void Begin(AttemptId attempt);
  void Abandon() override;
  void RefuseIfNotRun() override;
  void EndNow() override;

 private:
  void OnReply(AttemptReply reply);
  void OnAnswer(HandoverReply reply);
  void RunHere(HandoverResult result, const std::string& reason);
  void GiveUp();
  // Ends the hand-over. Returns whether the request was written.
  bool Cancel(HandoverResult result);
  void Finish(CallerAnswer answer);
  void Fail(HandoverResult result, ErrorKind kind, const std::string& reason);
  DecisionLine Log(std::string_view event, DecisionPriority priority) const;
  TimePoint now() const { return context_.timers.Now(); }

  HandoverContext& context_;
  ForwardedRequestPtr request_;
  HandoverQuery query_;
  HandoverChoice choice_;
  SearcherEntry peer_;
  AnswerHandler done_;
  AttemptId attempt_;
  TimePoint started_{};
  TimerId timer_;
  bool in_flight_ = false;
  bool finished_ = false;
  // Set if this VM runs the query after all.
  std::shared_ptr<PendingRequest> run_;
};

}  // namespace jujubecove

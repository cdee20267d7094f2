#pragma once

#include <memory>

#include "dispatch/request_run.h"
#include "quota/quota_client.h"

namespace jujubecove {

// A request that waits for a token, and then what it was passed on to.
class QuotaWait : public PendingRequest,
                  public std::enable_shared_from_this<QuotaWait> {
 public:
  QuotaWait(QuotaClient& client,
            WorkspaceName workspace,
            RequestRun::AnswerHandler done)
      : client_(client),
        workspace_(std::move(workspace)),
        done_(std::move(done)) {}

  void set_waiter(QuotaWaiterId id) { waiter_ = id; }
  // Answers the request.
  void Finish(CallerAnswer answer);
  // The request was admitted and is handled by `run`, or has been answered if
  // that is null.
  void set_run(std::shared_ptr<PendingRequest> run);
  bool ended() const { return ended_; }

  void Abandon() override;
  void RefuseIfNotRun() override;
  void EndNow() override;

 private:
  // Returns whether the request was still waiting.
  bool StopWaiting();

  QuotaClient& client_;
  WorkspaceName workspace_;
  RequestRun::AnswerHandler done_;
  QuotaWaiterId waiter_;
  // Refers back to this by its answer handler, so it is released at the end.
  std::shared_ptr<PendingRequest> run_;
  bool passed_on_ = false;
  bool ended_ = false;
};

}  // namespace jujubecove

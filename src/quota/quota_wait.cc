#include "quota/quota_wait.h"

#include <utility>

namespace jujubecove {

void QuotaWait::Finish(CallerAnswer answer) {
  if (ended_)
    return;
  ended_ = true;
  std::shared_ptr<PendingRequest> run = std::move(run_);
  RequestRun::AnswerHandler done = std::move(done_);
  done(std::move(answer));
}

void QuotaWait::set_run(std::shared_ptr<PendingRequest> run) {
  passed_on_ = true;
  if (!ended_)
    run_ = std::move(run);
}

bool QuotaWait::StopWaiting() {
  if (ended_ || passed_on_)
    return false;
  client_.Cancel(workspace_, waiter_);
  return true;
}

void QuotaWait::Abandon() {
  StopWaiting();
  ended_ = true;
  std::shared_ptr<PendingRequest> run = std::move(run_);
  if (run)
    run->Abandon();
}

void QuotaWait::RefuseIfNotRun() {
  if (StopWaiting())
    Finish(RefusalWhileStopping());
  else if (std::shared_ptr<PendingRequest> run = run_)
    run->RefuseIfNotRun();
}

void QuotaWait::EndNow() {
  if (StopWaiting())
    Finish(RefusalWhileStopping());
  else if (std::shared_ptr<PendingRequest> run = run_)
    run->EndNow();
}

}  // namespace jujubecove

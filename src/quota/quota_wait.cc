#include "quota/quota_wait.h"

#include <utility>

namespace jujubecove {

void QuotaWait::Finish(CallerAnswer answer) {
  if (ended_)
    return;
  ended_ = true;
  RequestRun::AnswerHandler done = std::move(done_);
  done(std::move(answer));
}

bool QuotaWait::StopWaiting() {
  if (ended_ || run_)
    return false;
  client_.Cancel(workspace_, waiter_);
  return true;
}

void QuotaWait::Abandon() {
  if (StopWaiting())
    ended_ = true;
  else if (run_)
    run_->Abandon();
}

void QuotaWait::RefuseIfNotRun() {
  if (StopWaiting())
    Finish(RefusalWhileStopping());
  else if (run_)
    run_->RefuseIfNotRun();
}

void QuotaWait::EndNow() {
  if (StopWaiting())
    Finish(RefusalWhileStopping());
  else if (run_)
    run_->EndNow();
}

}  // namespace jujubecove

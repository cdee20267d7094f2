#include "tests/standin/fake_store.h"

#include <utility>
#include <vector>

namespace jujubecove {
namespace {

// Status line, headers, JSON around the value, and packet headers of a reply.
constexpr std::uint64_t kReplyOverheadBytes = 250;

}  // namespace

FakeStore::FakeStore(TimerService& timers, StoreModel& model)
    : timers_(timers), model_(model) {
  listener_ =
      model_.AddListener([this](const std::string& key) { OnWrite(key); });
}

FakeStore::~FakeStore() {
  model_.RemoveListener(listener_);
}

void FakeStore::After(Duration delay, std::function<void()> callback) {
  std::weak_ptr<bool> alive = alive_;
  timers_.ScheduleAfter(delay, [alive, callback = std::move(callback)] {
    if (!alive.expired())
      callback();
  });
}

void FakeStore::Start(StoreCall call,
                      std::function<std::function<void()>()> effect,
                      std::function<void(bool sent)> lost) {
  if (!reachable_) {
    After(call_timeout_, [lost = std::move(lost)] { lost(false); });
    return;
  }
  CallPlan plan = model_.Plan(call, timers_.Now());
  if (plan.fate == CallFate::kRequestLost) {
    After(call_timeout_, [lost = std::move(lost)] { lost(true); });
    return;
  }
  bool too_late = plan.half_latency * 2 >= call_timeout_;
  After(plan.half_latency, [this, plan, too_late, effect = std::move(effect),
                            lost = std::move(lost)] {
    std::function<void()> reply = effect();
    if (plan.fate == CallFate::kReplyLost || too_late) {
      After(call_timeout_ - plan.half_latency, [lost] { lost(true); });
      return;
    }
    After(plan.half_latency, [this, reply = std::move(reply), lost] {
      if (reachable_)
        reply();
      else
        lost(true);
    });
  });
}

void FakeStore::Read(const std::string& key, Handler handler) {
  Start(
      StoreCall::kRead,
      [this, key, handler] {
        return [this, reply = model_.Read(key), handler] {
          received_bytes_ += reply.value.size() + kReplyOverheadBytes;
          handler(reply);
        };
      },
      [handler](bool) { handler(StoreReply{StoreStatus::kUnavailable}); });
}

void FakeStore::CompareAndSwap(const std::string& key,
                               StoreRevision expected,
                               std::string value,
                               Handler handler) {
  Start(
      StoreCall::kWrite,
      [this, key, expected, value = std::move(value), handler] {
        return [this, reply = model_.CompareAndSwap(key, expected, value),
                handler] {
          received_bytes_ += kReplyOverheadBytes;
          handler(reply);
        };
      },
      [handler](bool sent) {
        handler(StoreReply{sent ? StoreStatus::kUnknown
                                : StoreStatus::kUnavailable});
      });
}

void FakeStore::AcquireLease(const std::string& name,
                             const std::string& holder,
                             Duration time_to_live,
                             LeaseHandler handler) {
  Start(
      StoreCall::kLease,
      [this, name, holder, time_to_live, handler] {
        return [reply = model_.AcquireLease(name, holder, time_to_live,
                                            timers_.Now()),
                handler] { handler(reply); };
      },
      [handler](bool sent) {
        handler(LeaseReply{sent ? StoreStatus::kUnknown
                                : StoreStatus::kUnavailable});
      });
}

void FakeStore::Watch(const std::string& key,
                      StoreRevision after,
                      Duration timeout,
                      Handler handler) {
  std::function<void(bool)> lost = [handler](bool) {
    handler(StoreReply{StoreStatus::kUnavailable});
  };
  if (!reachable_) {
    After(call_timeout_, [lost] { lost(false); });
    return;
  }
  CallPlan plan = model_.Plan(StoreCall::kWatch, timers_.Now());
  if (plan.fate != CallFate::kServed) {
    After(timeout + call_timeout_, [lost] { lost(true); });
    return;
  }
  After(plan.half_latency, [=, this] {
    BeginWait(key, after, timeout, plan.half_latency, handler);
  });
}

void FakeStore::BeginWait(const std::string& key,
                          StoreRevision after,
                          Duration timeout,
                          Duration half_latency,
                          Handler handler) {
  std::uint64_t id = next_waiter_++;
  waiters_[id] = Waiter{key, after, {}, half_latency, std::move(handler)};
  if (std::optional<StoreReply> reply = model_.WatchNow(key, after)) {
    EndWait(id, *reply);
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  waiters_[id].timer = timers_.ScheduleAfter(timeout, [this, alive, id] {
    if (!alive.expired())
      EndWait(id, StoreReply{StoreStatus::kNotFound});
  });
}

void FakeStore::EndWait(std::uint64_t id, StoreReply reply) {
  auto it = waiters_.find(id);
  if (it == waiters_.end())
    return;
  Waiter waiter = std::move(it->second);
  waiters_.erase(it);
  timers_.Cancel(waiter.timer);
  After(waiter.half_latency,
        [this, reply = std::move(reply), handler = std::move(waiter.handler)] {
          received_bytes_ += reply.value.size() + kReplyOverheadBytes;
          handler(reachable_ ? reply : StoreReply{StoreStatus::kUnavailable});
        });
}

void FakeStore::OnWrite(const std::string& key) {
  std::vector<std::pair<std::uint64_t, StoreReply>> due;
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.key != key)
      continue;
    if (std::optional<StoreReply> reply = model_.WatchNow(key, waiter.after))
      due.emplace_back(id, *reply);
  }
  for (const auto& [id, reply] : due)
    EndWait(id, reply);
}

void FakeStore::Fetch(VmListRevision known, VmHandler handler) {
  Start(
      StoreCall::kVms,
      [this, known, handler] {
        return [reply = model_.Vms(known, timers_.Now()), handler] {
          handler(reply);
        };
      },
      [handler](bool) { handler(VmListReply{}); });
}

}  // namespace jujubecove

#include "quota/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// An owner in any zone of a region answers within this time unless it is busy,
// frozen or gone. Then the next one is asked too.
constexpr Duration kLateAfter = milliseconds(20);
// A request waits at most this long for an owner that is late.
constexpr Duration kGiveUpAfter = milliseconds(80);
// An owner that was late is not asked for this time, doubled each time in a
// row.
constexpr Duration kMinSilence = milliseconds(500);
constexpr int kMaxSilenceDoublings = 4;
// An owner without tokens is asked again after at most this time, because
// others may not use what it promised them.
constexpr Duration kMaxEmpty = milliseconds(500);
// A VM whose view of the fleet differs takes this time to see the same.
constexpr Duration kNotOwnerPause = milliseconds(250);
// Callers are told to come back at least this far apart.
constexpr Duration kMinReturnGap = milliseconds(20);
constexpr Duration kNoOwnerRetry = milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
// Tokens are fetched ahead only for so many expected requests.
constexpr double kMinAhead = 2.0;
constexpr int kMaxAhead = 32;

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

QuotaWaiterId QuotaClient::Submit(const WorkspaceName& workspace,
                                  DecisionHandler done) {
  State& state = states_[workspace];
  NoteDemand(state);
  QuotaWaiterId id(next_id_++);
  state.waiters.push_back({id, timers_.Now(), std::move(done)});
  Pump(workspace, state);
  bool waits = std::any_of(state.waiters.begin(), state.waiters.end(),
                           [id](const Waiter& it) { return it.id == id; });
  return waits ? id : QuotaWaiterId();
}

void QuotaClient::Cancel(const WorkspaceName& workspace, QuotaWaiterId id) {
  auto it = states_.find(workspace);
  if (it == states_.end())
    return;
  std::erase_if(it->second.waiters,
                [id](const Waiter& waiter) { return waiter.id == id; });
}

void QuotaClient::SetTable(const RouteTable& table) {
  std::erase_if(states_, [&](const auto& it) {
    const Workspace* workspace = table.FindWorkspace(it.first);
    return it.second.waiters.empty() && it.second.asks.empty() &&
           (workspace == nullptr || workspace->rate_per_second <= 0.0);
  });
}

void QuotaClient::NoteDemand(State& state) {
  TimePoint now = timers_.Now();
  state.demand =
      state.demand * std::exp(-ToSeconds(now - state.last_request)) + 1.0;
  state.last_request = now;
}

int QuotaClient::TokensAhead(const State& state) const {
  double expected = state.demand * ToSeconds(options_.token_lifetime()) / 2.0;
  return expected < kMinAhead ? 0
                              : std::min(static_cast<int>(expected), kMaxAhead);
}

bool QuotaClient::TakeToken(State& state) {
  TimePoint now = timers_.NowWithSuspension();
  std::erase_if(state.tokens, [this, now](const Tokens& it) {
    bool expired = it.expiry <= now;
    if (expired)
      metrics_.CountExpired(it.count);
    return expired;
  });
  if (state.tokens.empty())
    return false;
  if (--state.tokens.front().count == 0)
    state.tokens.pop_front();
  return true;
}

void QuotaClient::ServeWaiters(State& state) {
  while (!state.waiters.empty() && TakeToken(state)) {
    Waiter waiter = std::move(state.waiters.front());
    state.waiters.pop_front();
    metrics_.CountAdmitted();
    waiter.done({.admitted = true, .waited = timers_.Now() - waiter.since});
  }
}

void QuotaClient::Pump(const WorkspaceName& workspace, State& state) {
  ServeWaiters(state);
  while (!state.waiters.empty()) {
    bool asking = std::any_of(state.asks.begin(), state.asks.end(),
                              [](const Ask& it) { return !it.late; });
    if (asking)
      return;
    const QuotaOwnerVm* owner = NextOwner(workspace, state);
    if (owner == nullptr)
      break;
    AskOwner(workspace, state, *owner);
    ServeWaiters(state);
  }
  bool hoping = state.waiters.empty() ||
                std::any_of(state.asks.begin(), state.asks.end(),
                            [](const Ask& it) { return !it.given_up; });
  if (!hoping)
    RefuseWaiters(state);
}

const QuotaOwnerVm* QuotaClient::NextOwner(const WorkspaceName& workspace,
                                           State& state) {
  TimePoint now = timers_.Now();
  for (const QuotaOwnerVm& it : map_.OwnersOf(workspace)) {
    auto empty = state.empty_until.find(it.vm);
    if (empty != state.empty_until.end() && now < empty->second)
      continue;
    auto silent = silent_.find(it.vm);
    if (silent != silent_.end() && now < silent->second.until)
      continue;
    bool asked =
        std::any_of(state.asks.begin(), state.asks.end(),
                    [&](const Ask& ask) { return ask.owner == it.vm; });
    if (!asked)
      return &it;
  }
  return nullptr;
}

void QuotaClient::AskOwner(const WorkspaceName& workspace,
                           State& state,
                           const QuotaOwnerVm& owner) {
  TokenRequest request{workspace, map_.own_vm(),
                       static_cast<int>(state.waiters.size()),
                       TokensAhead(state)};
  TimePoint asked = timers_.NowWithSuspension();
  if (owner.self) {
    OnGrant(state, owner.vm, local_owner_.Grant(request), request.needed,
            asked);
    return;
  }
  std::uint64_t id = next_id_++;
  state.asks.push_back({id, owner.vm, request.needed});
  metrics_.CountCall();
  timers_.ScheduleAfter(kLateAfter,
                        [this, workspace, id] { OnAskLate(workspace, id); });
  transport_.Ask(
      owner, request,
      [this, workspace, id, asked](const std::optional<TokenGrant>& grant) {
        OnReply(workspace, id, asked, grant);
      });
}

QuotaClient::Ask* QuotaClient::FindAsk(State& state, std::uint64_t ask_id) {
  auto it = std::find_if(state.asks.begin(), state.asks.end(),
                         [ask_id](const Ask& it) { return it.id == ask_id; });
  return it == state.asks.end() ? nullptr : &*it;
}

void QuotaClient::OnAskLate(const WorkspaceName& workspace,
                            std::uint64_t ask_id) {
  State& state = states_[workspace];
  Ask* ask = FindAsk(state, ask_id);
  if (ask == nullptr)
    return;
  ask->late = true;
  metrics_.CountLateCall();
  NoteSilence(ask->owner);
  timers_.ScheduleAfter(kGiveUpAfter - kLateAfter, [this, workspace, ask_id] {
    OnAskGivenUp(workspace, ask_id);
  });
  Pump(workspace, state);
}

void QuotaClient::OnAskGivenUp(const WorkspaceName& workspace,
                               std::uint64_t ask_id) {
  State& state = states_[workspace];
  Ask* ask = FindAsk(state, ask_id);
  if (ask == nullptr)
    return;
  ask->given_up = true;
  Pump(workspace, state);
}

void QuotaClient::OnReply(const WorkspaceName& workspace,
                          std::uint64_t ask_id,
                          TimePoint asked,
                          const std::optional<TokenGrant>& grant) {
  State& state = states_[workspace];
  Ask* found = FindAsk(state, ask_id);
  if (found == nullptr)
    return;
  Ask ask = *found;
  std::erase_if(state.asks,
                [ask_id](const Ask& it) { return it.id == ask_id; });
  if (grant) {
    silent_.erase(ask.owner);
    OnGrant(state, ask.owner, *grant, ask.needed, asked);
  } else if (!ask.late) {
    NoteSilence(ask.owner);
  }
  Pump(workspace, state);
}

void QuotaClient::OnGrant(State& state,
                          const VmId& owner,
                          const TokenGrant& grant,
                          int needed,
                          TimePoint asked) {
  TimePoint now = timers_.Now();
  if (!grant.owner) {
    state.empty_until[owner] = now + kNotOwnerPause;
    return;
  }
  metrics_.CountGranted(grant.granted);
  if (grant.granted > 0) {
    state.tokens.push_back({asked + options_.token_lifetime(), grant.granted});
  }
  if (grant.granted >= needed) {
    state.empty_until.erase(owner);
    return;
  }
  state.empty_until[owner] = now + std::min(grant.next, kMaxEmpty);
  TimePoint next = now + grant.next;
  bool passed = !state.next_token || *state.next_token <= now;
  state.next_token = passed ? next : std::min(*state.next_token, next);
}

void QuotaClient::NoteSilence(const VmId& owner) {
  Silence& silence = silent_[owner];
  silence.until = timers_.Now() + kMinSilence * (1 << silence.failures);
  silence.failures = std::min(silence.failures + 1, kMaxSilenceDoublings);
}

// Callers are told different times, one for each token that this VM can expect.
void QuotaClient::RefuseWaiters(State& state) {
  TimePoint now = timers_.Now();
  bool over_limit = state.next_token && *state.next_token > now;
  Duration wait = over_limit ? *state.next_token - now : kNoOwnerRetry;
  Duration gap = std::max(wait / 2, kMinReturnGap);
  std::deque<Waiter> waiters = std::move(state.waiters);
  state.waiters.clear();
  for (Waiter& it : waiters) {
    TimePoint back = std::max(now + wait, state.last_return + gap);
    back = std::min(back, now + std::max(wait, kMaxRetryAfter));
    state.last_return = back;
    QuotaDecision decision;
    decision.cause =
        over_limit ? QuotaRefusal::kOverLimit : QuotaRefusal::kNoOwner;
    decision.retry_after = back - now;
    decision.waited = now - it.since;
    metrics_.CountRefused(decision.cause);
    it.done(decision);
  }
}

}  // namespace jujubecove

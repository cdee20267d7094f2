#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "quota/quota_metrics.h"
#include "quota/quota_transport.h"

namespace jujubecove {

// Identifies a request that waits for a token. Zero means none.
using QuotaWaiterId = StrongId<struct QuotaWaiterIdTag, std::uint64_t>;

// The outcome for one request.
struct QuotaDecision {
  bool admitted = false;
  // Of a refusal.
  QuotaRefusal cause = QuotaRefusal::kOverLimit;
  Duration retry_after{};
  Duration waited{};
};

// Decides on this VM whether a workspace's request is admitted. It spends
// tokens that the workspace's owners have granted: it asks the owner in its own
// zone first, and the next one if that has no token left or does not answer, so
// that a workspace whose few callers all meet one VM gets its whole limit
// there.
//
// What was told about a workspace is remembered until the time that the owner
// named, so that requests far beyond the limit are refused at once and without
// calls. Requests of one workspace that wait at the same time share one call.
class QuotaClient {
 public:
  using DecisionHandler = std::function<void(const QuotaDecision&)>;

  QuotaClient(TimerService& timers,
              const QuotaOptions& options,
              OwnerMap& map,
              QuotaOwner& local_owner,
              QuotaTransport& transport,
              QuotaMetrics& metrics)
      : timers_(timers),
        options_(options),
        map_(map),
        local_owner_(local_owner),
        transport_(transport),
        metrics_(metrics) {}

  // Calls `done` once; before it returns if nothing has to be asked. Returns
  // zero then.
  QuotaWaiterId Submit(const WorkspaceName& workspace, DecisionHandler done);
  // The token of a request that does not wait any more is left to others.
  void Cancel(const WorkspaceName& workspace, QuotaWaiterId id);
  // Forgets workspaces that are not limited any more.
  void SetTable(const RouteTable& table);

 private:
  struct Waiter {
    QuotaWaiterId id;
    TimePoint since{};
    DecisionHandler done;
  };
  struct Tokens {
    // By the clock that counts suspension.
    TimePoint expiry{};
    int count = 0;
  };
  // A call in progress.
  struct Ask {
    std::uint64_t id = 0;
    VmId owner;
    int needed = 0;
    // The owner is late; the next one is asked meanwhile.
    bool late = false;
    // Requests do not wait for it any more.
    bool given_up = false;
  };
  struct State {
    std::deque<Tokens> tokens;
    std::deque<Waiter> waiters;
    std::vector<Ask> asks;
    // Owners that had no token, until when they are not asked again.
    std::map<VmId, TimePoint> empty_until;
    // When the earliest token is expected, as owners said.
    std::optional<TimePoint> next_token;
    // When the caller that was refused last was told to come back.
    TimePoint last_return{};
    // Requests per second, decaying.
    double demand = 0.0;
    TimePoint last_request{};
  };
  struct Silence {
    TimePoint until{};
    int failures = 0;
  };

  void Pump(const WorkspaceName& workspace, State& state);
  void ServeWaiters(State& state);
  bool TakeToken(State& state);
  // The next owner to ask, or null.
  const QuotaOwnerVm* NextOwner(const WorkspaceName& workspace, State& state);
  void AskOwner(const WorkspaceName& workspace,
                State& state,
                const QuotaOwnerVm& owner);
  void OnGrant(State& state,
               const VmId& owner,
               const TokenGrant& grant,
               int needed,
               TimePoint asked);
  void OnReply(const WorkspaceName& workspace,
               std::uint64_t ask_id,
               TimePoint asked,
               const std::optional<TokenGrant>& grant);
  void OnAskLate(const WorkspaceName& workspace, std::uint64_t ask_id);
  void OnAskGivenUp(const WorkspaceName& workspace, std::uint64_t ask_id);
  void RefuseWaiters(State& state);
  void NoteSilence(const VmId& owner);
  void NoteDemand(State& state);
  int TokensAhead(const State& state) const;
  Ask* FindAsk(State& state, std::uint64_t ask_id);

  TimerService& timers_;
  QuotaOptions options_;
  OwnerMap& map_;
  QuotaOwner& local_owner_;
  QuotaTransport& transport_;
  QuotaMetrics& metrics_;
  std::unordered_map<WorkspaceName, State> states_;
  std::map<VmId, Silence> silent_;
  std::uint64_t next_id_ = 1;
};

}  // namespace jujubecove

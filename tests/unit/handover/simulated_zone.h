#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "handover/handover_policy.h"
#include "handover/run_times.h"
#include "handover/takeover_server.h"
#include "kernel/fake_timer_service.h"

namespace jujubecove {

// VMs of one zone on the fake clock. A query takes 4.2 ms of processor time and
// 15 ms at the searchers, handing it over 0.4 ms of processor time and 2 ms on
// the network. A processor does one thing after the other.
class SimulatedZone {
 public:
  struct Outcome {
    int asked = 0;
    int in_target = 0;
    int handed_over = 0;
    int failed = 0;
  };
  enum class State { kRunning, kKilled, kDraining };

  struct Vm {
    Vm(const VmId& id, double cpu_share, std::uint64_t seed)
        : share(cpu_share), policy(id, cpu_share, seed) {}
    double share;
    HandoverPolicy policy;
    State state = State::kRunning;
    ConfigVersion version{1};
    LoadReport Report(TimePoint now) const {
      return {version, state == State::kDraining, times.Higher(now)};
    }
    RunTimes times;
    bool has_callers = true;
    TimePoint busy_until{};
    Duration busy{};
    int in_progress = 0;
    int runs = 0;
  };

  static constexpr Duration kTarget = std::chrono::milliseconds(60);

  explicit SimulatedZone(const std::vector<double>& shares) {
    std::vector<HandoverPeer> peers;
    for (std::size_t n = 0; n < shares.size(); ++n) {
      VmId id("vm" + std::to_string(n));
      vms_.push_back(std::make_unique<Vm>(id, shares[n], n + 1));
      peers.push_back({id, IncarnationId(1), shares[n]});
    }
    for (const std::unique_ptr<Vm>& it : vms_)
      it->policy.SetPeers(peers);
  }

  Vm& vm(std::size_t n) { return *vms_[n]; }
  void Freeze(std::size_t n, Duration time) {
    vm(n).busy_until = std::max(vm(n).busy_until, timers_.Now() + time);
  }

  // Each VM gets one query a second on average. The result counts the queries
  // of the first `vms` VMs.
  Outcome RunFor(Duration time, std::size_t vms, double rate = 1.0) {
    outcome_ = std::make_shared<Outcome>();
    constexpr Duration kStep = std::chrono::milliseconds(1);
    std::bernoulli_distribution arrives(0.001 * rate);
    for (TimePoint end = timers_.Now() + time; timers_.Now() < end;
         timers_.AdvanceBy(kStep)) {
      for (std::size_t n = 0; n < vms_.size(); ++n) {
        if (vm(n).has_callers && arrives(random_))
          Ask(n, n < vms ? outcome_ : std::make_shared<Outcome>());
      }
    }
    return *outcome_;
  }

 private:
  using OutcomePtr = std::shared_ptr<Outcome>;
  static constexpr Duration kHop = std::chrono::milliseconds(1);

  // Calls `done` when the processor has done that work.
  void Work(Vm& vm, double ms, std::function<void()> done) {
    Duration took(static_cast<Duration::rep>(1000.0 * ms / vm.share));
    vm.busy += took;
    vm.busy_until = std::max(vm.busy_until, timers_.Now()) + took;
    timers_.ScheduleAt(vm.busy_until, std::move(done));
  }

  void Run(Vm& vm, std::function<void(Duration)> done) {
    ++vm.in_progress;
    ++vm.runs;
    TimePoint started = timers_.Now();
    Work(vm, 4.2, [this, &vm, started, done = std::move(done)] {
      timers_.ScheduleAfter(std::chrono::milliseconds(15), [&, started, done] {
        --vm.in_progress;
        Duration took = timers_.Now() - started;
        vm.times.Observe("r", took, kTarget, timers_.Now());
        done(took);
      });
    });
  }

  void Ask(std::size_t n, const OutcomePtr& outcome) {
    Vm& from = vm(n);
    ++outcome->asked;
    TimePoint now = timers_.Now();
    HandoverQuery query{"r", kTarget, from.version, from.times.Lower(now)};
    for (const VmId& it : from.policy.TakePeersToAsk(query, now))
      AskLoad(from, it);
    std::optional<HandoverChoice> choice = from.policy.Choose(query, now);
    if (choice)
      HandOver(from, *choice, query, outcome);
    else
      RunHere(from, now, outcome);
  }

  void RunHere(Vm& from, TimePoint received, const OutcomePtr& outcome) {
    Run(from, [this, received, outcome](Duration) {
      outcome->in_target += timers_.Now() - received <= kTarget ? 1 : 0;
    });
  }

  Vm& Find(const VmId& id) { return vm(std::stoul(id.value().substr(2))); }

  void AskLoad(Vm& from, const VmId& id) {
    Vm& peer = Find(id);
    TimePoint asked = timers_.Now();
    auto answered = std::make_shared<bool>(false);
    timers_.ScheduleAfter(std::chrono::milliseconds(300), [&, id, answered] {
      if (!*answered)
        from.policy.OnFailure(id, timers_.Now());
    });
    if (peer.state == State::kKilled)
      return;
    Work(peer, 0.1, [&, id, asked, answered] {
      TimePoint now = timers_.Now();
      if (now - asked > std::chrono::milliseconds(300))
        return;
      *answered = true;
      from.policy.OnReport(id, peer.Report(timers_.Now()), now - asked, now);
    });
  }

  void HandOver(Vm& from,
                const HandoverChoice& choice,
                const HandoverQuery& query,
                const OutcomePtr& outcome) {
    TimePoint received = timers_.Now();
    Vm& peer = Find(choice.vm);
    // Set when the query has ended for its caller.
    auto ended = std::make_shared<bool>(false);
    timers_.ScheduleAt(
        HandoverPolicy::GiveUpTime(query, choice, received, received),
        [&, id = choice.vm, ended, outcome] {
          if (std::exchange(*ended, true))
            return;
          ++outcome->failed;
          from.policy.OnFailure(id, timers_.Now());
        });
    ++outcome->handed_over;
    Work(from, 0.2, [&, id = choice.vm, received, ended, outcome] {
      timers_.ScheduleAfter(kHop, [&, id, received, ended, outcome] {
        double read_ms = peer.state == State::kKilled ? 0.0 : 0.1;
        Work(peer, read_ms, [&, id, received, ended, outcome] {
          Arrive(from, peer, id, received, ended, outcome);
        });
      });
    });
  }

  void Arrive(Vm& from,
              Vm& peer,
              const VmId& id,
              TimePoint received,
              const std::shared_ptr<bool>& ended,
              const OutcomePtr& outcome) {
    Duration send_time(static_cast<Duration::rep>(2100.0 / peer.share));
    if (peer.state != State::kRunning || peer.version != from.version ||
        !HasRoomForTakeover(peer.in_progress, send_time, kTarget)) {
      if (std::exchange(*ended, true))
        return;
      if (peer.state == State::kKilled)
        from.policy.OnFailure(id, timers_.Now());
      else
        from.policy.OnRefusal(id, peer.Report(timers_.Now()), timers_.Now());
      RunHere(from, received, outcome);
      return;
    }
    Run(peer, [&, id, received, ended, outcome](Duration ran) {
      timers_.ScheduleAfter(kHop, [&, id, received, ended, outcome, ran] {
        Work(from, 0.2, [&, id, received, ended, outcome, ran] {
          if (std::exchange(*ended, true))
            return;
          Duration took = timers_.Now() - received;
          from.policy.OnAnswer(id, peer.Report(timers_.Now()), took, ran,
                               timers_.Now());
          outcome->in_target += took <= kTarget ? 1 : 0;
        });
      });
    });
  }

  FakeTimerService timers_;
  RandomEngine random_{7};
  std::vector<std::unique_ptr<Vm>> vms_;
  OutcomePtr outcome_;
};

}  // namespace jujubecove

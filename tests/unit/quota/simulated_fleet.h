#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "kernel/fake_timer_service.h"
#include "quota/quota_node.h"

namespace jujubecove {

using std::chrono::milliseconds;

// The clock of one VM, which can be frozen or suspended.
class VmClock : public TimerService {
 public:
  explicit VmClock(FakeTimerService& world) : world_(world) {}

  TimePoint Now() const override { return world_.Now() - suspended_; }
  TimePoint NowWithSuspension() const override { return world_.Now(); }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override {
    return world_.ScheduleAt(when + suspended_,
                             [this, callback] { Run(callback); });
  }
  void Cancel(TimerId id) override { world_.Cancel(id); }

  // Runs `callback` now, or when the VM has woken up.
  void Run(std::function<void()> callback) {
    if (world_.Now() < frozen_until_)
      world_.ScheduleAt(frozen_until_, std::move(callback));
    else
      callback();
  }
  // A suspended VM does not count the time on its steady clock.
  void Freeze(Duration time, bool suspend) {
    frozen_until_ = std::max(frozen_until_, world_.Now() + time);
    if (suspend)
      suspended_ += time;
  }

 private:
  FakeTimerService& world_;
  TimePoint frozen_until_{};
  Duration suspended_{};
};

// A fleet of VMs with a store that they read with a delay. Requests, calls and
// changes of the store are events on one fake clock.
class SimulatedFleet {
 public:
  struct Vm;
  // Calls between VMs, with a delay, while the VMs are not cut off.
  class Transport : public QuotaTransport {
   public:
    Transport(SimulatedFleet& fleet, Vm& own) : fleet_(fleet), own_(own) {}
    void Ask(const QuotaOwnerVm& owner,
             const TokenRequest& request,
             GrantHandler done) override {
      fleet_.Call<std::optional<TokenGrant>>(
          own_, owner.vm, std::move(done),
          [request](Vm& vm) { return vm.node->owner().Grant(request); });
    }
    void Announce(const DaemonEntry& peer,
                  const DaemonEntry& own,
                  AckHandler done) override {
      fleet_.Call<bool>(own_, peer.vm, std::move(done), [own](Vm& vm) {
        vm.node->OnAnnounced(own);
        return true;
      });
    }

   private:
    SimulatedFleet& fleet_;
    Vm& own_;
  };

  struct Vm : std::enable_shared_from_this<Vm> {
    explicit Vm(FakeTimerService& world) : clock(world) {}
    VmClock clock;
    DaemonEntry entry;
    std::unique_ptr<Transport> transport;
    MetricsRegistry registry;
    QuotaMetrics metrics{registry};
    FleetDirectory directory;
    TimePoint view_confirmed = TimePoint::min();
    std::unique_ptr<QuotaNode> node;
    bool alive = true;
    bool cut_from_store = false;
    bool cut_from_vms = false;
    // Of its process, on the clock of the world.
    TimePoint started{};
  };

  static constexpr Duration kReadInterval = milliseconds(500);

  SimulatedFleet(const QuotaOptions& options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  // Starts a process of the VM.
  void Start(const std::string& name, int zone) {
    Kill(name, false);
    auto vm = std::make_shared<Vm>(world_);
    vm->entry.vm = VmId(name);
    vm->entry.zone = ZoneName("z" + std::to_string(zone));
    vm->entry.incarnation = IncarnationId(random_());
    vm->entry.peer_address = SocketAddress{"10.0.0.1", 80};
    vm->started = world_.Now();
    vm->transport = std::make_unique<Transport>(*this, *vm);
    Vm* raw = vm.get();
    vm->node = std::make_unique<QuotaNode>(
        vm->clock, options_, vm->entry, *vm->transport, vm->metrics,
        [raw] { return raw->view_confirmed; });
    if (table_)
      vm->node->SetTable(table_);
    store_[vm->entry.vm] = vm->entry;
    vms_[name] = vm;
    all_.push_back(vm);
    ReadStore(vm);
  }
  // Ends the process; a graceful one ends its registration before.
  void Kill(const std::string& name, bool graceful) {
    auto it = vms_.find(name);
    if (it == vms_.end())
      return;
    if (graceful) {
      it->second->node->Stop();
      store_.erase(VmId(name));
    }
    it->second->alive = false;
    vms_.erase(it);
  }
  void SetLimit(const std::string& workspace, double rate, double burst) {
    Workspace limited;
    limited.name = WorkspaceName(workspace);
    limited.rate_per_second = rate;
    limited.burst = burst;
    workspaces_[workspace] = limited;
    ServingConfig config;
    for (const auto& [name, it] : workspaces_)
      config.workspaces.push_back(it);
    table_ = std::make_shared<const RouteTable>(config);
    for (const auto& [name, vm] : vms_)
      vm->node->SetTable(table_);
  }
  // One request; `decided` gets the outcome.
  void Request(const std::string& workspace,
               const std::string& vm_name,
               std::function<void(const QuotaDecision&)> decided) {
    std::shared_ptr<Vm> vm = vms_.at(vm_name);
    vm->clock.Run([vm, workspace, decided] {
      if (vm->alive)
        vm->node->client().Submit(WorkspaceName(workspace), decided);
    });
  }
  void Advance(Duration time) { world_.AdvanceBy(time); }
  TimePoint Now() const { return world_.Now(); }
  Vm& Get(const std::string& name) { return *vms_.at(name); }
  const std::map<std::string, std::shared_ptr<Vm>>& vms() const { return vms_; }
  Duration Random(int from_ms, int to_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(from_ms, to_ms)(random_));
  }
  RandomEngine& random() { return random_; }
  FakeTimerService& world() { return world_; }

 private:
  // A read takes effect a moment after the store has answered it.
  void ReadStore(const std::shared_ptr<Vm>& vm) {
    if (!vm->alive)
      return;
    if (!vm->cut_from_store) {
      TimePoint read = world_.Now();
      world_.ScheduleAfter(Random(1, 60), [this, vm, read, items = store_] {
        vm->clock.Run([vm, read, items] { Apply(*vm, read, items); });
      });
    }
    world_.ScheduleAfter(kReadInterval + Random(0, 300),
                         [this, vm] { ReadStore(vm); });
  }
  static void Apply(Vm& vm,
                    TimePoint read,
                    const std::map<VmId, DaemonEntry>& items) {
    if (!vm.alive || read < vm.view_confirmed)
      return;
    std::vector<VmId> gone;
    for (const auto& [id, entry] : vm.directory.daemons()) {
      if (!items.contains(id))
        gone.push_back(id);
    }
    for (const VmId& it : gone)
      vm.directory.Remove(it);
    for (const auto& [id, entry] : items)
      vm.directory.Put(entry);
    vm.view_confirmed = read;
    vm.node->OnFleetChanged(vm.directory);
  }

  template <typename T>
  void Call(Vm& from,
            const VmId& target,
            std::function<void(T)> done,
            std::function<T(Vm&)> handle) {
    struct Pending {
      std::function<void(T)> done;
      bool ended = false;
    };
    auto pending = std::make_shared<Pending>(Pending{std::move(done)});
    std::shared_ptr<Vm> caller = from.shared_from_this();
    auto finish = [caller, pending](T value) {
      caller->clock.Run([caller, pending, value] {
        if (caller->alive && !std::exchange(pending->ended, true))
          pending->done(value);
      });
    };
    auto it = vms_.find(target.value());
    std::shared_ptr<Vm> callee = it == vms_.end() ? nullptr : it->second;
    if (callee && !from.cut_from_vms && !callee->cut_from_vms) {
      world_.ScheduleAfter(Random(0, 4), [this, callee, handle, finish] {
        callee->clock.Run([this, callee, handle, finish] {
          if (!callee->alive)
            return;
          T value = handle(*callee);
          world_.ScheduleAfter(Random(0, 4),
                               [finish, value] { finish(value); });
        });
      });
    }
    world_.ScheduleAfter(std::chrono::seconds(1), [finish] { finish(T{}); });
  }

  QuotaOptions options_;
  RandomEngine random_;
  FakeTimerService world_;
  std::map<VmId, DaemonEntry> store_;
  std::map<std::string, Workspace> workspaces_;
  RouteTablePtr table_;
  std::map<std::string, std::shared_ptr<Vm>> vms_;
  // Ended processes too, since their callbacks may still be due.
  std::vector<std::shared_ptr<Vm>> all_;
};

}  // namespace jujubecove

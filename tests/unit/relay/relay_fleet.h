#pragma once

#include <unistd.h>
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/store_watcher.h"
#include "kernel/fake_timer_service.h"
#include "relay/relayed_kv_store.h"
#include "tests/standin/fake_kv_store.h"

namespace jujubecove {

// The clock of one VM, which can be frozen: callbacks then run when it wakes.
class VmTimers : public TimerService {
 public:
  explicit VmTimers(TimerService& base) : base_(base) {}

  TimePoint Now() const override { return base_.Now() - hidden_; }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override {
    auto id = std::make_shared<TimerId>();
    *id = base_.ScheduleAt(
        when + hidden_,
        [this, id, callback = std::move(callback)] { Run(callback, *id); });
    return *id;
  }
  void Cancel(TimerId id) override {
    base_.Cancel(id);
    std::erase_if(deferred_, [id](const auto& it) { return it.first == id; });
  }

  // Runs `callback` now or when the VM wakes.
  void Run(const std::function<void()>& callback, TimerId id = {}) {
    if (frozen_)
      deferred_.emplace_back(id, callback);
    else
      callback();
  }
  void Freeze() {
    frozen_ = true;
    frozen_at_ = base_.Now();
  }
  // `clock_stopped`: the VM's clock does not show the time that has passed.
  void Wake(bool clock_stopped) {
    frozen_ = false;
    if (clock_stopped)
      hidden_ += base_.Now() - frozen_at_;
    while (!deferred_.empty()) {
      std::function<void()> callback = std::move(deferred_.front().second);
      deferred_.pop_front();
      callback();
    }
  }
  bool frozen() const { return frozen_; }

 private:
  TimerService& base_;
  bool frozen_ = false;
  TimePoint frozen_at_{};
  Duration hidden_{};
  std::deque<std::pair<TimerId, std::function<void()>>> deferred_;
};

// One VM's path to the store, which can be cut.
class VmStore : public KvStore {
 public:
  VmStore(VmTimers& timers, FakeKvStore& store)
      : timers_(timers), store_(store) {}

  void Range(const std::string& prefix,
             const std::string& after,
             std::function<void(KvPage)> done) override {
    store_.Range(prefix, after, Track(Duration(0), std::move(done)));
  }
  void Watch(const std::string& prefix,
             StorePosition after,
             Duration wait,
             std::function<void(KvPage)> done) override {
    store_.Watch(prefix, after, wait, Track(wait, std::move(done)));
  }
  void Put(const std::string& key,
           const std::string& value,
           StoreLease lease,
           std::function<void(KvWriteResult)> done) override {
    store_.Put(key, value, lease, std::move(done));
  }
  void Delete(const std::string& key,
              std::function<void(KvWriteResult)> done) override {
    store_.Delete(key, std::move(done));
  }
  void GrantLease(Duration ttl,
                  std::function<void(KvLeaseResult)> done) override {
    store_.GrantLease(ttl, std::move(done));
  }
  void RenewLease(StoreLease lease,
                  std::function<void(KvLeaseResult)> done) override {
    store_.RenewLease(lease, std::move(done));
  }

  bool is_cut_ = false;
  int calls_ = 0;

 private:
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  // The call has no answer if the path is cut when it is sent or answered.
  std::function<void(KvPage)> Track(Duration wait,
                                    std::function<void(KvPage)> done) {
    ++calls_;
    TimePoint lost_at = timers_.Now() + wait + kCallTimeout;
    return [this, was_cut = is_cut_, lost_at,
            done = std::move(done)](const KvPage& page) {
      if (was_cut || is_cut_) {
        timers_.ScheduleAt(lost_at, [done] { done(KvPage{}); });
        return;
      }
      timers_.Run([done, page] { done(page); });
    };
  }

  VmTimers& timers_;
  FakeKvStore& store_;
};

// The view of one daemon, and whether any key has gone back to an older state.
class ViewRecorder : public StoreWatchListener {
 public:
  void OnListingBegin() override { items_.clear(); }
  void OnListingEnd() override {}
  void OnItem(const KvItem& item) override {
    StoreRevision& latest = latest_[item.key];
    went_back_ = went_back_ || item.revision < latest;
    latest = item.revision;
    if (item.removed)
      items_.erase(item.key);
    else
      items_[item.key] = item.value;
  }
  void OnStoreDisconnected(const std::string&) override {}
  void OnStoreReconnected(Duration outage) override {
    outage_ = outage;
    if (on_outage_)
      on_outage_(outage);
  }

  void OnStoreRestored(StoreEra) override { latest_.clear(); }

  std::map<std::string, std::string> items_;
  // Of the present era.
  std::map<std::string, StoreRevision> latest_;
  bool went_back_ = false;
  Duration outage_{};
  std::function<void(Duration)> on_outage_;
};

// Entry daemons of one zone that follow one store, without a network.
class RelayFleet {
 public:
  struct Vm : public ReaderLink {
    Vm(RelayFleet& fleet, const DaemonEntry& entry, std::uint64_t seed)
        : fleet_(fleet),
          entry_(entry),
          timers_(fleet.timers_),
          store_(timers_, fleet.store_),
          relayed_(timers_,
                   store_,
                   *this,
                   fleet.log_,
                   {.choice = {.own = entry.vm,
                               .zone = entry.zone,
                               .min_daemons = fleet.min_daemons_},
                    .reader_wait = std::chrono::milliseconds(1200),
                    .poll_wait = std::chrono::milliseconds(800)}),
          watcher_(timers_,
                   relayed_,
                   view_,
                   "",
                   std::chrono::milliseconds(2800),
                   seed) {
      view_.on_outage_ = [this](Duration outage) {
        relayed_.relay().OnOutageEnded(outage);
      };
      relayed_.Attach(fleet.directory_);
      watcher_.set_fleet_size(static_cast<int>(fleet.vms_.size()) + 1);
      watcher_.Start();
    }

    void Poll(const DaemonEntry& reader,
              const ChangesQuery& query,
              Duration timeout,
              Done done) override {
      auto is_settled = std::make_shared<bool>(false);
      auto settle = [this, is_settled,
                     done](const std::optional<ChangesReply>& reply) {
        if (!std::exchange(*is_settled, true))
          timers_.Run([done, reply] { done(reply); });
      };
      timers_.ScheduleAfter(timeout, [settle] { settle(std::nullopt); });
      fleet_.timers_.ScheduleAfter(kLatency, [this, reader, query, settle] {
        Vm& target = fleet_.Find(reader.vm);
        if (target.is_dead_) {
          settle(std::nullopt);
          return;
        }
        target.timers_.Run([this, &target, query, settle] {
          target.relayed_.relay().Poll(
              query, [this, settle](const ChangesReply& reply) {
                // Replies pass through the codec.
                fleet_.timers_.ScheduleAfter(kLatency, [settle, reply] {
                  settle(DecodeChangesReply(Encode(reply)));
                });
              });
        });
      });
    }
    void Kill() {
      is_dead_ = true;
      timers_.Freeze();
    }

    static constexpr Duration kLatency = std::chrono::milliseconds(2);
    RelayFleet& fleet_;
    DaemonEntry entry_;
    bool is_dead_ = false;
    VmTimers timers_;
    VmStore store_;
    RelayedKvStore relayed_;
    ViewRecorder view_;
    StoreWatcher watcher_;
  };

  explicit RelayFleet(int size, int min_daemons = 16)
      : store_(timers_),
        sink_(STDOUT_FILENO, 1U << 16U),
        log_(sink_, "vm", 0),
        min_daemons_(min_daemons) {
    for (int n = 0; n < size; ++n)
      Start(VmId("vm" + std::to_string(n)));
    timers_.AdvanceBy(std::chrono::seconds(4));
  }

  // Starts a process on the VM, in place of an earlier one.
  void Start(const VmId& vm) {
    if (Vm* old = TryFind(vm))
      old->Kill();
    DaemonEntry entry;
    entry.vm = vm;
    entry.zone = ZoneName("z");
    entry.incarnation = IncarnationId(++starts_);
    entry.peer_address = SocketAddress{"127.0.0.1", 1};
    directory_.Put(entry);
    vms_.push_back(std::make_unique<Vm>(*this, entry, starts_));
  }
  // The latest process on the VM.
  Vm* TryFind(const VmId& vm) {
    Vm* found = nullptr;
    for (const std::unique_ptr<Vm>& it : vms_)
      found = it->entry_.vm == vm ? it.get() : found;
    return found;
  }
  Vm& Find(const VmId& vm) { return *TryFind(vm); }
  std::vector<Vm*> Live() {
    std::vector<Vm*> live;
    for (const std::unique_ptr<Vm>& it : vms_) {
      if (!it->is_dead_ && !it->timers_.frozen())
        live.push_back(it.get());
    }
    return live;
  }
  std::vector<Vm*> Readers() {
    std::vector<Vm*> readers = Live();
    std::erase_if(readers, [](Vm* it) { return !it->relayed_.is_reader(); });
    return readers;
  }
  // Changes a key and returns how long it takes until all live daemons know it.
  Duration MeasureChange() {
    std::string value = std::to_string(++changes_);
    store_.Set("key", value);
    TimePoint start = timers_.Now();
    auto knows = [&](Vm* it) { return it->view_.items_["key"] == value; };
    auto all_know = [&] {
      std::vector<Vm*> live = Live();
      return std::all_of(live.begin(), live.end(), knows);
    };
    while (!all_know() && timers_.Now() - start < std::chrono::seconds(30))
      timers_.AdvanceBy(std::chrono::milliseconds(10));
    return timers_.Now() - start;
  }
  int StoreCalls() {
    int calls = 0;
    for (const std::unique_ptr<Vm>& it : vms_)
      calls += it->store_.calls_;
    return calls;
  }

  FakeTimerService timers_;
  FakeKvStore store_;
  LineSink sink_;
  DecisionLog log_;
  int min_daemons_;
  FleetDirectory directory_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::uint64_t starts_ = 0;
  int changes_ = 0;
};

}  // namespace jujubecove

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/units.h"
#include "store/store.h"
#include "store/vm_list.h"

namespace jujubecove {

// How the platform misbehaves for a while. Shares are probabilities per call.
struct StoreFaults {
  // Calls fail without taking effect.
  bool outage = false;
  Duration latency{1'000};
  // Added at random, evenly between zero and this.
  Duration jitter{};
  // The request is lost before it takes effect.
  double lost_requests = 0.0;
  // The call takes effect and its reply is lost.
  double lost_replies = 0.0;
  // A lease lapses at once although its holder was told its time to live.
  double lapsed_leases = 0.0;
};

// One row of a fault table; the last row that covers an instant applies.
struct StoreFaultWindow {
  TimePoint from;
  TimePoint until;
  StoreFaults faults;
};

enum class StoreCall : std::uint8_t { kRead, kWrite, kLease, kWatch, kVms };
inline constexpr int kStoreCallCount = 5;

// What the model does with one call.
enum class CallFate : std::uint8_t { kServed, kRequestLost, kReplyLost };

struct CallPlan {
  CallFate fate = CallFate::kServed;
  // Until the call takes effect, and again until its reply arrives.
  Duration half_latency{};
};

// The platform's key-value service and VM list as pure logic, without time or
// transport of its own. Revisions count the writes of one key from 1.
class StoreModel {
 public:
  explicit StoreModel(std::uint64_t seed) : random_(seed) {}

  void SetFaults(StoreFaults faults) { faults_ = faults; }
  void SetFaultTable(std::vector<StoreFaultWindow> table) {
    table_ = std::move(table);
  }

  // Counts a call and decides its fate.
  CallPlan Plan(StoreCall call, TimePoint now);
  std::uint64_t count(StoreCall call) const;
  std::uint64_t total_count() const;

  StoreReply Read(const std::string& key) const;
  StoreReply CompareAndSwap(const std::string& key,
                            StoreRevision expected,
                            std::string value);
  LeaseReply AcquireLease(const std::string& name,
                          const std::string& holder,
                          Duration time_to_live,
                          TimePoint now);
  // Nothing when the key has not passed `after`.
  std::optional<StoreReply> WatchNow(const std::string& key,
                                     StoreRevision after) const;
  // Called after each write with the key. Returns an id for RemoveListener.
  std::uint64_t AddListener(std::function<void(const std::string&)> listener);
  void RemoveListener(std::uint64_t id) { listeners_.erase(id); }
  // Watches that ask for a revision older than this many writes are told that
  // their history is compacted.
  void SetHistoryLength(std::uint64_t writes) { history_length_ = writes; }

  // The list becomes visible `lag` after `now`.
  void SetVms(std::vector<VmRecord> vms, TimePoint now, Duration lag = {});
  VmListReply Vms(VmListRevision known, TimePoint now);

 private:
  struct Value {
    StoreRevision revision;
    std::string value;
  };
  struct Lease {
    std::string holder;
    std::uint64_t token = 0;
    TimePoint expires;
  };
  struct PendingVms {
    TimePoint visible;
    std::vector<VmRecord> vms;
  };

  const StoreFaults& FaultsAt(TimePoint now) const;
  bool Draw(double share);

  RandomEngine random_;
  StoreFaults faults_;
  std::vector<StoreFaultWindow> table_;
  std::uint64_t counts_[kStoreCallCount] = {};
  std::map<std::string, Value> values_;
  std::uint64_t history_length_ = 1'000;
  std::map<std::string, Lease> leases_;
  std::uint64_t last_token_ = 0;
  bool lapse_next_lease_ = false;
  std::uint64_t last_listener_ = 0;
  std::map<std::uint64_t, std::function<void(const std::string&)>> listeners_;
  std::deque<PendingVms> pending_vms_;
  std::vector<VmRecord> vms_;
  VmListRevision vms_revision_;
};

}  // namespace jujubecove

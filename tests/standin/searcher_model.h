#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/random.h"
#include "base/units.h"
#include "kernel/timer_service.h"
#include "tests/standin/service_topology.h"
#include "upstream/upstream_transport.h"

namespace jujubecove::standin {

// Counts how often each non-idempotent request took effect on any searcher.
// Thread-safe.
class EffectCounter {
 public:
  void Record(const std::string& idempotency_key);
  std::size_t CountOf(const std::string& idempotency_key) const;
  // Requests that took effect more than once.
  std::size_t duplicates() const;
  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, std::size_t> effects_;
};

// Properties of a searcher without faults.
struct SearcherParameters {
  SearcherId id;
  std::size_t shard = 0;
  std::uint32_t slots = 2;
  // Queued requests beyond which the searcher refuses as busy.
  std::uint32_t queue_limit = 16;
  std::uint32_t connections = 25;
  Duration connect_cost{6'000};
  Duration service_time{5'000};
  // The time of a request is uniformly distributed over service_time x
  // (1 +- spread).
  double spread = 0.2;
};

// Faults of a searcher; can be changed at run time.
struct SearcherFaults {
  double slow_factor = 1.0;
  bool down = false;
  bool draining = false;
  // Refuses this share of requests with reason "cold" before execution.
  double cold_share = 0.0;
  // Fails this share of requests after executing them.
  double fail_share = 0.0;
  // Executes this share of requests but closes the connection without a reply.
  double lost_reply_share = 0.0;
  // Ignores the pinned index version, reads its newest one and states it in the
  // reply.
  bool ignores_pin = false;
  // Overrides for the reported load and health.
  std::optional<std::uint32_t> reported_in_flight;
  std::optional<bool> reported_healthy;
};

struct ExecuteRequest {
  // Id of the attempt, for Cancel.
  std::string attempt;
  ShardId shard;
  ShardMapVersion map_version;
  std::optional<IndexVersion> index_version;
  Duration remaining{};
  std::string idempotency_key;
};

enum class ExecuteStatus : std::uint8_t {
  kOk,
  kNotRun,
  kFailed,
  // The connection ends without a reply.
  kNoReply,
};

struct ExecuteReply {
  ExecuteStatus status = ExecuteStatus::kOk;
  // For kNotRun: one of busy, draining, version, map, cold, deadline,
  // cancelled.
  std::string reason;
  ShardId shard;
  ShardMapVersion map_version;
  IndexVersion index_version;
  std::string body;
};

// Simulates one searcher: slots, a queue, held versions and faults. It works
// with any timer service, so both socket servers and fake-clock simulations use
// it.
class SearcherModel {
 public:
  using Done = std::function<void(ExecuteReply)>;

  SearcherModel(TimerService& timers,
                SearcherParameters parameters,
                std::shared_ptr<const ServiceTopology> topology,
                std::shared_ptr<EffectCounter> effect_counter,
                std::uint64_t seed);

  // Calls `done` exactly once, possibly before Execute returns.
  void Execute(ExecuteRequest request, Done done);
  // Cancels the attempt if it is queued, or running and idempotent; its `done`
  // is called with kNotRun "cancelled".
  void Cancel(const std::string& attempt);

  // Adds or removes an index version held under a shard map.
  void Hold(ShardMapVersion map_version, IndexVersion index_version);
  void Drop(ShardMapVersion map_version, IndexVersion index_version);
  bool Holds(ShardMapVersion map_version, IndexVersion index_version) const;

  SearcherReport Report() const;
  // Increases when the holdings or the draining state change.
  std::uint64_t generation() const { return generation_; }
  std::uint32_t reported_in_flight() const;

  const SearcherParameters& parameters() const { return parameters_; }
  const ServiceTopology& topology() const { return *topology_; }
  const SearcherFaults& faults() const { return faults_; }
  void SetFaults(const SearcherFaults& faults);

  std::uint64_t executed() const { return executed_; }
  std::uint64_t refused() const { return refused_; }
  std::optional<TimePoint> last_start() const { return last_start_; }
  std::size_t in_flight() const { return running_.size() + queue_.size(); }

 private:
  struct Work {
    ExecuteRequest request;
    Done done;
    IndexVersion read_version;
    TimePoint expires;
    TimerId timer;
  };

  std::string RefusalReason(const ExecuteRequest& request);
  bool RandomBool(double share);
  void Start(Work work);
  void Finish(std::uint64_t id);
  void StartQueued();
  void Refuse(const Work& work, const std::string& reason);
  ExecuteReply MakeReply(const Work& work);

  TimerService& timers_;
  SearcherParameters parameters_;
  std::shared_ptr<const ServiceTopology> topology_;
  std::shared_ptr<EffectCounter> effect_counter_;
  RandomEngine random_;
  SearcherFaults faults_;
  std::map<ShardMapVersion, std::set<IndexVersion>> holdings_;
  std::uint64_t generation_ = 1;
  std::uint64_t next_work_ = 1;
  std::unordered_map<std::uint64_t, Work> running_;
  std::deque<Work> queue_;
  std::uint64_t executed_ = 0;
  std::uint64_t refused_ = 0;
  std::optional<TimePoint> last_start_;
};

}  // namespace jujubecove::standin

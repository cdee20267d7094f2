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

// Counts how often each non-idempotent request took effect, over all searchers.
// Searchers on several threads may share it.
class EffectLedger {
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

// What one searcher is like when nothing is wrong.
struct SearcherShape {
  SearcherId id;
  std::size_t shard = 0;
  std::uint32_t slots = 2;
  // Requests that wait for a slot before the searcher refuses as busy.
  std::uint32_t queue_limit = 16;
  std::uint32_t connections = 25;
  Duration connect_cost{6'000};
  Duration service_time{5'000};
  // The time of a request is service_time x (1 +- spread), evenly distributed.
  double spread = 0.2;
};

// What can go wrong with a searcher; changed while it runs.
struct SearcherFaults {
  double slow_factor = 1.0;
  bool down = false;
  bool draining = false;
  // Refuses this share of requests before execution, as when it is cold.
  double cold_share = 0.0;
  // Fails this share of requests after executing them.
  double fail_share = 0.0;
  // Executes but loses the reply: the connection ends without one.
  double lost_reply_share = 0.0;
  // Reads its newest version whatever was pinned, and says which it read.
  bool ignores_pin = false;
  // Reports another load or health than it has.
  std::optional<std::uint32_t> reported_in_flight;
  std::optional<bool> reported_healthy;
};

// One request as a searcher sees it.
struct ExecuteRequest {
  // Identifies the attempt for a later cancellation.
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

// One searcher: slots, a queue, held versions and faults. It runs on any timer
// service, so sockets and the fake clock share it.
class SearcherModel {
 public:
  using Done = std::function<void(ExecuteReply)>;

  SearcherModel(TimerService& timers,
                SearcherShape shape,
                std::shared_ptr<const ServiceTopology> topology,
                std::shared_ptr<EffectLedger> ledger,
                std::uint64_t seed);

  // `done` is called once, possibly from within the call.
  void Execute(ExecuteRequest request, Done done);
  // Ends a queued request or a running one that has no effect; its `done` is
  // called with kNotRun "cancelled".
  void Cancel(const std::string& attempt);

  // Starts to hold an index version under a map, or stops.
  void Hold(ShardMapVersion map_version, IndexVersion index_version);
  void Drop(ShardMapVersion map_version, IndexVersion index_version);
  bool Holds(ShardMapVersion map_version, IndexVersion index_version) const;

  SearcherReport Report() const;
  // Changes whenever the report's holdings or its draining state change.
  std::uint64_t generation() const { return generation_; }
  std::uint32_t reported_in_flight() const;

  const SearcherShape& shape() const { return shape_; }
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

  std::string ReasonToRefuse(const ExecuteRequest& request);
  bool Draw(double share);
  void Start(Work work);
  void Finish(std::uint64_t id);
  void StartQueued();
  void Refuse(const Work& work, const std::string& reason);
  ExecuteReply MakeReply(const Work& work);

  TimerService& timers_;
  SearcherShape shape_;
  std::shared_ptr<const ServiceTopology> topology_;
  std::shared_ptr<EffectLedger> ledger_;
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

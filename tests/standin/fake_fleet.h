#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "kernel/timer_service.h"
#include "routing/router.h"
#include "tests/standin/searcher_model.h"
#include "upstream/upstream_transport.h"

namespace jujubecove::standin {

struct FleetService {
  ServiceName name;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  std::size_t buckets = 64;
  // `id` and `shard` are set for each searcher.
  SearcherParameters parameters;
};

// Simulated searchers on one timer service, without sockets. Replica r of shard
// s has the id "service/s/r" and is in the zone "zone/r".
class FakeFleet {
 public:
  FakeFleet(TimerService& timers, std::uint64_t seed);

  // Initially every searcher holds index version 1 under shard map 1.
  void AddService(const FleetService& service);

  static SearcherId IdOf(const ServiceName& service,
                         std::size_t shard,
                         std::size_t replica);
  SearcherModel& searcher(const SearcherId& id) { return *searchers_.at(id); }
  bool Has(const SearcherId& id) const { return searchers_.count(id) != 0; }
  std::vector<SearcherId> SearchersOf(const ServiceName& service) const;
  const ServiceTopology& topology(const ServiceName& service) const {
    return *services_.at(service).topology;
  }
  EffectCounter& effect_counter() { return *effect_counter_; }

  // The platform's current VM list.
  std::vector<SearcherVm> VmList() const;
  // Passes the VM list, all shard maps in use and the reports of all searchers
  // that are up to a router.
  void UpdateRouter(Router& router) const;
  // Updates the router now and then every `period`.
  void UpdateRouterPeriodically(Router& router, Duration period);

  // Marks a searcher as leaving in the VM list.
  void SetLeavingInList(const SearcherId& id) { leaving_.insert(id); }

  TimerService& timers() { return timers_; }

 private:
  struct Service {
    std::shared_ptr<ServiceTopology> topology;
    std::vector<SearcherId> searchers;
  };

  TimerService& timers_;
  RandomEngine random_;
  std::shared_ptr<EffectCounter> effect_counter_;
  std::map<ServiceName, Service> services_;
  std::unordered_map<SearcherId, std::unique_ptr<SearcherModel>> searchers_;
  std::set<SearcherId> leaving_;
};

// Faults of the network between one entry daemon and the searchers.
struct TransportFaults {
  Duration one_way_delay{500};
  // Connecting to these searchers fails.
  std::set<SearcherId> unreachable;
  // These searchers do not answer on open connections.
  std::set<SearcherId> silent;
  // An attempt on a silent connection fails after this time.
  Duration silence_timeout{50'000};
  double lose_reply_share = 0.0;
};

// One entry daemon's transport to a FakeFleet.
class FakeTransport : public UpstreamTransport {
 public:
  FakeTransport(FakeFleet& fleet, std::uint64_t seed);
  ~FakeTransport() override;

  void SetReplyHandler(ReplyHandler handler) override;
  void Send(UpstreamRequest request) override;
  void Cancel(AttemptId attempt) override;
  bool HasCapacityFor(std::size_t) const override { return true; }

  TransportFaults& faults() { return faults_; }
  // Defers replies while the simulated process is paused.
  void SetPaused(bool paused);
  std::uint64_t sent() const { return sent_; }
  std::uint64_t sent_to(const SearcherId& id) const;

 private:
  struct Attempt {
    UpstreamRequest request;
    TimePoint sent_at;
    TimerId limit;
  };

  void DeliverRequest(AttemptId id);
  void OnReply(AttemptId id, const ExecuteReply& reply);
  void Finish(AttemptId id, UpstreamReply reply);
  void FinishWithoutReply(AttemptId id,
                          AttemptOutcome outcome,
                          Execution execution);
  std::string AttemptTag(AttemptId id) const;
  bool RandomBool(double share);

  FakeFleet& fleet_;
  std::uint64_t instance_;
  RandomEngine random_;
  ReplyHandler handler_;
  TransportFaults faults_;
  bool paused_ = false;
  std::vector<UpstreamReply> deferred_replies_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::uint64_t sent_ = 0;
  std::unordered_map<SearcherId, std::uint64_t> sent_to_;
  // The fleet's callbacks may outlive the transport.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove::standin

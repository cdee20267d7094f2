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

// Size and speed of one service of the fleet.
struct FleetService {
  ServiceName name;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  std::size_t buckets = 64;
  // Address and shard are filled in for each searcher.
  SearcherShape shape;
};

// Searchers on one timer service, without sockets. Searcher r of shard s of a
// service is named "service/s/r" and belongs to zone number r.
class FakeFleet {
 public:
  FakeFleet(TimerService& timers, std::uint64_t seed);

  // Every searcher of the service holds index version 1 under map 1.
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
  EffectLedger& ledger() { return *ledger_; }

  // The platform's list, as it is now.
  std::vector<SearcherVm> VmList() const;
  // Hands the list, all maps that are held and all reports to a router.
  void UpdateRouter(Router& router) const;
  // Feeds the router now and then each `period` until the fleet is destroyed.
  void FeedPeriodically(Router& router, Duration period);

  // Searchers that are marked as leaving in the platform's list.
  void SetLeavingInList(const SearcherId& id) { leaving_.insert(id); }

  TimerService& timers() { return timers_; }

 private:
  struct Service {
    std::shared_ptr<ServiceTopology> topology;
    std::vector<SearcherId> searchers;
  };

  TimerService& timers_;
  RandomEngine random_;
  std::shared_ptr<EffectLedger> ledger_;
  std::map<ServiceName, Service> services_;
  std::unordered_map<SearcherId, std::unique_ptr<SearcherModel>> searchers_;
  std::set<SearcherId> leaving_;
};

// What can go wrong between one entry daemon and the searchers.
struct LinkFaults {
  Duration one_way{500};
  // Connections to these searchers can't be made.
  std::set<SearcherId> unreachable;
  // Requests to these searchers get no answer on open connections.
  std::set<SearcherId> silent;
  // Time after which a silent connection is given up.
  Duration silence_bound{50'000};
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

  LinkFaults& faults() { return faults_; }
  // While paused, replies are held back, as when the process is stopped.
  void SetPaused(bool paused);
  std::uint64_t sent() const { return sent_; }
  std::uint64_t sent_to(const SearcherId& id) const;

 private:
  struct Attempt {
    UpstreamRequest request;
    TimePoint sent_at;
    TimerId limit;
  };

  void Deliver(AttemptId id);
  void Answer(AttemptId id, const ExecuteReply& reply);
  void End(AttemptId id, UpstreamReply reply);
  void EndWithout(AttemptId id, AttemptOutcome outcome, Execution execution);
  std::string TagOf(AttemptId id) const;
  bool Draw(double share);

  FakeFleet& fleet_;
  std::uint64_t instance_;
  RandomEngine random_;
  ReplyHandler handler_;
  LinkFaults faults_;
  bool paused_ = false;
  std::vector<UpstreamReply> held_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::uint64_t sent_ = 0;
  std::unordered_map<SearcherId, std::uint64_t> sent_to_;
  // Callbacks of the fleet outlive a transport that is destroyed in a test.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove::standin

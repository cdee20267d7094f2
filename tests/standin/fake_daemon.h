#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission_queue.h"
#include "base/random.h"
#include "document/document.h"
#include "gather/query_engine_impl.h"
#include "gather/query_service_impl.h"
#include "gather/ticket_forwarder.h"
#include "kernel/timer_service.h"
#include "tests/standin/fake_fleet.h"
#include "tickets/ticket_table.h"

namespace jujubecove::standin {

// The timer service of one simulated process. Callbacks are deferred while the
// process is paused and dropped after its end.
class ProcessTimers : public TimerService {
 public:
  explicit ProcessTimers(TimerService& simulation_timers)
      : simulation_timers_(simulation_timers) {}

  TimePoint Now() const override { return simulation_timers_.Now(); }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Runs `callback` now or, if the process is paused, when it resumes.
  void Post(std::function<void()> callback) {
    Post(state_, std::move(callback));
  }
  // Returns a function like Post that may be called after the process has
  // ended; it then drops the callback.
  std::function<void(std::function<void()>)> MakePoster() const;
  void SetPaused(bool paused);
  bool paused() const { return state_->paused; }

 private:
  struct State {
    bool paused = false;
    std::vector<std::function<void()>> deferred;
    std::unordered_map<std::uint64_t, TimerId> scheduled;
  };

  static void Post(const std::shared_ptr<State>& state,
                   std::function<void()> callback);

  TimerService& simulation_timers_;
  std::uint64_t next_id_ = 1;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

class FakeDaemon;

// Faults of the network between entry daemons.
struct PeerFaults {
  Duration one_way_delay{500};
  // Shares of forwarded requests and of their answers that are lost.
  double lose_request_share = 0.0;
  double lose_answer_share = 0.0;
  // Share of forwarded requests that arrive a second time, after a delay.
  double duplicate_share = 0.0;
  Duration max_duplicate_delay{2'000'000};
};

// The simulated network that carries forwarded requests between entry daemons.
class PeerNetwork {
 public:
  PeerNetwork(TimerService& timers, std::uint64_t seed)
      : timers_(timers), random_(seed) {}

  PeerFaults& faults() { return faults_; }
  void Attach(const std::string& address, FakeDaemon* daemon);
  void Detach(const std::string& address, FakeDaemon* daemon);
  void Forward(ProcessTimers& sender,
               const std::string& address,
               const QueryRequest& request,
               TicketForwarder::Handler handler);

 private:
  bool RandomBool(double share);
  void DeliverRequest(const std::string& address,
                      const QueryRequest& request,
                      std::function<void(RenderedAnswer)> answer);

  TimerService& timers_;
  RandomEngine random_;
  PeerFaults faults_;
  std::map<std::string, FakeDaemon*> daemons_;
};

struct FakeDaemonOptions {
  std::string address = "127.0.0.1:9001";
  IncarnationId incarnation{1};
  std::uint64_t seed = 1;
  std::size_t live_daemons = 1;
  // How often the router receives VM list, shard maps and reports.
  Duration router_update_period{100'000};
  // Runs after each router update, for instance to add wrong reports.
  std::function<void(Router&)> after_router_update;
  // Creates the transport; by default a FakeTransport.
  std::function<std::unique_ptr<FakeTransport>(FakeFleet&, std::uint64_t)>
      make_transport;
};

// The query thread of one entry daemon: the real router, admission queue,
// ticket table and engine on top of a FakeFleet. Destroying it simulates a
// kill.
class FakeDaemon : public TicketForwarder {
 public:
  FakeDaemon(FakeFleet& fleet,
             PeerNetwork& network,
             std::shared_ptr<const Document> document,
             FakeDaemonOptions options);
  ~FakeDaemon() override;

  void Submit(QueryRequest request, QueryService::AnswerHandler handler);
  void Query(QueryRequest request, QueryEngine::AnswerHandler handler);
  void ExecuteForwarded(QueryRequest request,
                        QueryService::AnswerHandler handler);
  // Empty while the process is paused.
  std::optional<std::string> IssueTicket();
  void Abandon(RequestId request);
  void SetPaused(bool paused);
  bool paused() const { return timers_.paused(); }

  void Forward(const TicketOwner& owner,
               QueryRequest request,
               Handler handler) override;

  QueryServiceImpl& service() { return service_; }
  FakeTransport& transport() { return *transport_; }
  Router& router() { return *router_; }

 private:
  void UpdateRouter();

  FakeFleet& fleet_;
  PeerNetwork& network_;
  FakeDaemonOptions options_;
  ProcessTimers timers_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<AdmissionQueue> admission_;
  std::unique_ptr<FakeTransport> transport_;
  std::unique_ptr<TicketTable> tickets_;
  QueryEngineImpl engine_;
  QueryServiceImpl service_;
};

}  // namespace jujubecove::standin

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
#include "once/ticket_table.h"
#include "tests/standin/fake_fleet.h"

namespace jujubecove::standin {

// The timer service of one simulated process. While the process is paused its
// callbacks are held back; after its end they are dropped.
class ProcessTimers : public TimerService {
 public:
  explicit ProcessTimers(TimerService& world) : world_(world) {}

  TimePoint Now() const override { return world_.Now(); }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Runs `callback` now, when the process resumes, or never.
  void Post(std::function<void()> callback) {
    Post(state_, std::move(callback));
  }
  // A way to post that outlives the process.
  std::function<void(std::function<void()>)> Poster() const;
  void SetPaused(bool paused);
  bool paused() const { return state_->paused; }

 private:
  struct State {
    bool paused = false;
    std::vector<std::function<void()>> held;
    std::unordered_map<std::uint64_t, TimerId> scheduled;
  };

  static void Post(const std::shared_ptr<State>& state,
                   std::function<void()> callback);

  TimerService& world_;
  std::uint64_t next_id_ = 1;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

class FakeDaemon;

// What can go wrong between entry daemons.
struct PeerFaults {
  Duration one_way{500};
  // Shares of forwarded requests and of their answers that are lost.
  double lose_request_share = 0.0;
  double lose_answer_share = 0.0;
  // Share of forwarded requests of which a copy arrives later.
  double copy_share = 0.0;
  Duration longest_copy_delay{2'000'000};
};

// Carries forwarded requests between the daemons of one simulation.
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
  bool Draw(double share);
  void Deliver(const std::string& address,
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
  // How often reports of searchers arrive.
  Duration feed_period{100'000};
  // Runs after each feed, for reports that mislead.
  std::function<void(Router&)> after_feed;
  // Makes the transport; a FakeTransport unless set.
  std::function<std::unique_ptr<FakeTransport>(FakeFleet&, std::uint64_t)>
      make_transport;
};

// The query thread of one entry daemon with the real router, admission, ticket
// table and engine, over a FakeFleet. Destroying it is a kill.
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
  // Nothing while the process is paused.
  std::optional<std::string> IssueTicket();
  void Abandon(RequestId request);
  // Stops and resumes the process.
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

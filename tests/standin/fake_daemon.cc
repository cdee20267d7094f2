#include "tests/standin/fake_daemon.h"

#include <random>

#include "admission/make_admission_queue.h"
#include "routing/make_router.h"
#include "tickets/ticket_options.h"

namespace jujubecove::standin {
namespace {

std::unique_ptr<FakeTransport> MakeTransport(FakeFleet& fleet,
                                             const FakeDaemonOptions& options) {
  if (options.make_transport)
    return options.make_transport(fleet, options.seed);
  return std::make_unique<FakeTransport>(fleet, options.seed);
}

TicketOptions TicketOptionsOf(const FakeDaemonOptions& options) {
  TicketOptions tickets;
  tickets.peer_address = options.address;
  tickets.incarnation = options.incarnation;
  tickets.secret.fill(static_cast<std::uint8_t>(options.incarnation.value()));
  return tickets;
}

}  // namespace

TimerId ProcessTimers::ScheduleAt(TimePoint when,
                                  std::function<void()> callback) {
  std::uint64_t id = next_id_++;
  std::weak_ptr<State> weak = state_;
  TimerId inner = simulation_timers_.ScheduleAt(
      when, [weak, id, callback = std::move(callback)]() mutable {
        std::shared_ptr<State> state = weak.lock();
        if (!state)
          return;
        // Checked again on resumption: the timer may be cancelled meanwhile.
        Post(state, [weak, id, callback = std::move(callback)] {
          std::shared_ptr<State> locked = weak.lock();
          if (locked && locked->scheduled.erase(id) != 0)
            callback();
        });
      });
  state_->scheduled.emplace(id, inner);
  return TimerId(id);
}

void ProcessTimers::Cancel(TimerId id) {
  auto it = state_->scheduled.find(id.value());
  if (it == state_->scheduled.end())
    return;
  simulation_timers_.Cancel(it->second);
  state_->scheduled.erase(it);
}

void ProcessTimers::Post(const std::shared_ptr<State>& state,
                         std::function<void()> callback) {
  if (state->paused)
    state->deferred.push_back(std::move(callback));
  else
    callback();
}

std::function<void(std::function<void()>)> ProcessTimers::MakePoster() const {
  std::weak_ptr<State> weak = state_;
  return [weak](std::function<void()> callback) {
    std::shared_ptr<State> state = weak.lock();
    if (state)
      Post(state, std::move(callback));
  };
}

void ProcessTimers::SetPaused(bool paused) {
  state_->paused = paused;
  if (paused)
    return;
  std::vector<std::function<void()>> deferred = std::move(state_->deferred);
  state_->deferred.clear();
  for (const std::function<void()>& callback : deferred)
    callback();
}

void PeerNetwork::Attach(const std::string& address, FakeDaemon* daemon) {
  daemons_[address] = daemon;
}

void PeerNetwork::Detach(const std::string& address, FakeDaemon* daemon) {
  auto it = daemons_.find(address);
  if (it != daemons_.end() && it->second == daemon)
    daemons_.erase(it);
}

bool PeerNetwork::RandomBool(double share) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

void PeerNetwork::DeliverRequest(const std::string& address,
                                 const QueryRequest& request,
                                 std::function<void(RenderedAnswer)> answer) {
  auto it = daemons_.find(address);
  if (it != daemons_.end())
    it->second->ExecuteForwarded(request, std::move(answer));
}

void PeerNetwork::Forward(ProcessTimers& sender,
                          const std::string& address,
                          const QueryRequest& request,
                          TicketForwarder::Handler handler) {
  std::shared_ptr<TicketForwarder::Handler> once =
      std::make_shared<TicketForwarder::Handler>(std::move(handler));
  std::function<void(std::function<void()>)> post = sender.MakePoster();
  auto finish = [once, post](std::optional<RenderedAnswer> answer) {
    post([once, answer = std::move(answer)]() mutable {
      TicketForwarder::Handler call = std::exchange(*once, nullptr);
      if (call)
        call(std::move(answer));
    });
  };
  timers_.ScheduleAfter(*request.deadline, [finish] { finish(std::nullopt); });
  if (RandomBool(faults_.duplicate_share)) {
    std::uniform_int_distribution<Duration::rep> delay(
        0, faults_.max_duplicate_delay.count());
    timers_.ScheduleAfter(Duration(delay(random_)), [this, address, request] {
      DeliverRequest(address, request, [](const RenderedAnswer&) {});
    });
  }
  if (RandomBool(faults_.lose_request_share))
    return;
  timers_.ScheduleAfter(
      faults_.one_way_delay, [this, address, request, finish] {
        DeliverRequest(address, request, [this, finish](RenderedAnswer answer) {
          if (RandomBool(faults_.lose_answer_share))
            return;
          timers_.ScheduleAfter(
              faults_.one_way_delay,
              [finish, answer = std::move(answer)] { finish(answer); });
        });
      });
}

FakeDaemon::FakeDaemon(FakeFleet& fleet,
                       PeerNetwork& network,
                       std::shared_ptr<const Document> document,
                       FakeDaemonOptions options)
    : fleet_(fleet),
      network_(network),
      options_(std::move(options)),
      timers_(fleet.timers()),
      router_(MakeRouter(timers_, options_.seed)),
      admission_(MakeAdmissionQueue(timers_)),
      transport_(MakeTransport(fleet, options_)),
      tickets_(MakeTicketTable(timers_, TicketOptionsOf(options_))),
      engine_(EngineDependencies{timers_, *router_, *admission_, *transport_,
                                 nullptr},
              EngineOptions(),
              options_.seed),
      service_(timers_, engine_, *tickets_, *this, QueryServiceOptions()) {
  router_->SetDocument(document);
  router_->SetLiveDaemons(options_.live_daemons);
  admission_->SetDocument(*document, options_.live_daemons);
  engine_.SetDocument(std::move(document));
  network_.Attach(options_.address, this);
  UpdateRouter();
}

FakeDaemon::~FakeDaemon() {
  network_.Detach(options_.address, this);
}

void FakeDaemon::UpdateRouter() {
  fleet_.UpdateRouter(*router_);
  if (options_.after_router_update)
    options_.after_router_update(*router_);
  timers_.ScheduleAfter(options_.router_update_period,
                        [this] { UpdateRouter(); });
}

void FakeDaemon::Submit(QueryRequest request,
                        QueryService::AnswerHandler handler) {
  timers_.Post(
      [this, request = std::move(request), handler = std::move(handler)] {
        service_.Submit(request, handler);
      });
}

void FakeDaemon::Query(QueryRequest request,
                       QueryEngine::AnswerHandler handler) {
  timers_.Post(
      [this, request = std::move(request), handler = std::move(handler)] {
        engine_.Submit(request, handler);
      });
}

void FakeDaemon::ExecuteForwarded(QueryRequest request,
                                  QueryService::AnswerHandler handler) {
  timers_.Post(
      [this, request = std::move(request), handler = std::move(handler)] {
        service_.ExecuteForwarded(request, handler);
      });
}

std::optional<std::string> FakeDaemon::IssueTicket() {
  if (timers_.paused())
    return std::nullopt;
  return tickets_->Issue(1).value().front();
}

void FakeDaemon::Abandon(RequestId request) {
  timers_.Post([this, request] { service_.Abandon(request); });
}

void FakeDaemon::SetPaused(bool paused) {
  transport_->SetPaused(paused);
  timers_.SetPaused(paused);
}

void FakeDaemon::Forward(const TicketOwner& owner,
                         QueryRequest request,
                         Handler handler) {
  network_.Forward(timers_, owner.peer_address, request, std::move(handler));
}

}  // namespace jujubecove::standin

#include "daemon/daemon.h"

#include <signal.h>

#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <future>
#include <utility>

#include "base/random.h"
#include "daemon/exit_code.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;

// Service names in the registry.
constexpr char kTelemetryWriter[] = "telemetry.writer";
constexpr char kTracer[] = "frontend.tracer";
constexpr char kQueryProxy[] = "frontend.bridge";
constexpr char kFrontend[] = "frontend";
constexpr char kUpstream[] = "upstream";
constexpr char kForwarder[] = "tickets.forwarder";
constexpr char kQuery[] = "query";
constexpr char kControl[] = "control";

constexpr std::size_t kFrontendTaskCapacity = 64;
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);

Duration EpochOffset() {
  boost::asio::io_context context;
  AsioTimerService timers(context);
  return UnixEpochOffset(std::chrono::system_clock::now(), timers.Now());
}

tcp::endpoint EndpointOf(const SocketAddress& address) {
  return tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port);
}

}  // namespace

Daemon::Daemon(const DaemonConfig& config, std::string version)
    : config_(config),
      version_(std::move(version)),
      incarnation_(SystemSeed()),
      main_timers_(main_context_),
      signals_(main_context_, SIGTERM, SIGINT, SIGHUP) {}

Daemon::~Daemon() {
  StopThreads();
}

Result<void> Daemon::Start(std::shared_ptr<const Document> document,
                           DocumentLoader loader) {
  loader_ = std::move(loader);
  SetLogFormat(config_.log_format);
  for (int n = 0; n < kLogCategoryCount; ++n)
    SetLogLevel(static_cast<LogCategory>(n), config_.log_levels[n]);
  try {
    PublishBaseServices();
    if (!registry_.Find<TelemetryWriter>(kTelemetryWriter).good())
      return Error{ErrorKind::kInternal,
                   "can't write spans to " + config_.trace_path};
    PublishQueryAndControl();
    ConnectServices(std::move(document));
  } catch (const boost::system::system_error& error) {
    return Error{ErrorKind::kInternal,
                 std::string("can't start: ") + error.what()};
  }
  Result<void> listening = Listen();
  if (!listening)
    return listening;
  StartThreads();
  JJ_LOG(kDaemon, INFO) << "jujubecoved " << version_ << " of zone "
                        << config_.zone << " serves callers on "
                        << config_.listen_callers.ToString();
  return boost::outcome_v2::success();
}

void Daemon::PublishBaseServices() {
  registry_.Publish(kTelemetryWriter,
                    std::make_shared<TelemetryWriter>(
                        telemetry_.context(), metrics_,
                        SpanResource{config_.zone.value(), config_.vm.value()},
                        config_.trace_path));
  registry_.Publish(kTracer,
                    std::make_shared<Tracer>(SystemSeed(), config_.trace_share,
                                             EpochOffset()));
  registry_.Publish(kQueryProxy, std::make_shared<QueryServiceProxy>(
                                     frontend_.context(), query_.context(),
                                     config_.frontend, metrics_));
  registry_.Publish(
      kFrontend,
      std::make_shared<ApiServer>(
          frontend_.context(), frontend_.timers(),
          registry_.Find<QueryServiceProxy>(kQueryProxy),
          registry_.Find<Tracer>(kTracer), metrics_, config_.frontend,
          ApiServerIdentity{version_, config_.zone}));
  std::vector<EventLoopThread*> upstream_threads;
  for (std::uint32_t n = 0; n < config_.upstream_threads; ++n) {
    upstream_.push_back(
        std::make_unique<EventLoopThread>("upstream" + std::to_string(n)));
    upstream_threads.push_back(upstream_.back().get());
  }
  registry_.Publish(kUpstream,
                    std::make_shared<UpstreamPool>(
                        upstream_threads, query_.context(), incarnation_,
                        SystemSeed(), config_.outstanding_attempts, metrics_));
  registry_.Publish<TicketForwarder>(kForwarder,
                                     std::make_shared<NullTicketForwarder>());
}

void Daemon::PublishQueryAndControl() {
  QueryPipelineOptions options;
  options.seed = SystemSeed();
  options.unix_epoch_offset = EpochOffset();
  options.baseline = config_.baseline;
  options.tickets.peer_address = config_.listen_callers.ToString();
  options.tickets.incarnation = incarnation_;
  options.tickets.secret = GenerateTicketSecret();
  TicketForwarder& forwarder = registry_.Find<TicketForwarder>(kForwarder);
  registry_.Publish(
      kQuery,
      std::make_shared<QueryPipeline>(
          query_.timers(), registry_.Find<UpstreamPool>(kUpstream).transport(),
          forwarder, metrics_, options));
  registry_.Publish(kControl,
                    std::make_shared<ControlPlane>(
                        control_, query_, registry_.Find<QueryPipeline>(kQuery),
                        config_, metrics_));
}

void Daemon::ConnectServices(std::shared_ptr<const Document> document) {
  QueryPipeline& query = registry_.Find<QueryPipeline>(kQuery);
  ApiServer& frontend = registry_.Find<ApiServer>(kFrontend);
  PartitionedTransport& upstream =
      registry_.Find<UpstreamPool>(kUpstream).transport();
  registry_.Find<QueryServiceProxy>(kQueryProxy)
      .SetService(query.metered_service());
  frontend_tasks_ = MakeTaskChannel(frontend_.context(), kFrontendTaskCapacity);
  query.Start([this, &frontend](ApiServerState state) {
    return frontend_tasks_->TryPush(
        [&frontend, state] { frontend.SetState(state); });
  });
  upstream.SetReportHandler([&query](const SearcherReport& report) {
    query.router().ApplyReport(report);
  });
  upstream.SetMapHandler([&query](const ServiceName& service,
                                  std::shared_ptr<const ShardMap> map) {
    query.router().AddShardMap(service, std::move(map));
  });
  registry_.Find<ControlPlane>(kControl).Start(
      [&upstream](const SearcherId& searcher, std::size_t share) {
        upstream.SetConnectionShare(searcher, share);
      },
      std::move(document));
}

Result<void> Daemon::Listen() {
  ApiServer& frontend = registry_.Find<ApiServer>(kFrontend);
  Result<tcp::endpoint> callers = frontend.Listen(
      EndpointOf(config_.listen_callers), ListenerRole::kCallers);
  if (!callers)
    return callers.error();
  if (config_.listen_operations.port == 0)
    return boost::outcome_v2::success();
  Result<tcp::endpoint> operations = frontend.Listen(
      EndpointOf(config_.listen_operations), ListenerRole::kOperations);
  if (!operations)
    return operations.error();
  return boost::outcome_v2::success();
}

void Daemon::StartThreads() {
  TelemetryWriter& writer = registry_.Find<TelemetryWriter>(kTelemetryWriter);
  telemetry_.Start(nullptr);
  SetThisThreadTelemetryChannel(
      &writer.AddChannel("main", config_.telemetry_ring_capacity));
  std::vector<EventLoopThread*> threads = {&control_, &query_, &frontend_};
  for (std::unique_ptr<EventLoopThread>& it : upstream_)
    threads.push_back(it.get());
  for (EventLoopThread* thread : threads)
    thread->Start(
        &writer.AddChannel(thread->name(), config_.telemetry_ring_capacity));
}

int Daemon::Run() {
  WaitForSignal();
  main_context_.run();
  StopThreads();
  return exit_code_;
}

void Daemon::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec)
      return;
    if (signal == SIGHUP)
      Reload();
    else
      OnSignal();
    WaitForSignal();
  });
}

void Daemon::Reload() {
  if (!loader_) {
    JJ_LOG(kDaemon, INFO) << "SIGHUP ignored: --document is not set";
    return;
  }
  Result<std::shared_ptr<const Document>> document = loader_();
  if (!document) {
    JJ_LOG(kDaemon, ERROR)
        << "reloading the document failed, keeping the current one: "
        << document.error().detail;
    return;
  }
  ControlPlane& control = registry_.Find<ControlPlane>(kControl);
  boost::asio::post(control_.context(), [&control, document] {
    control.SetDocument(document.value());
  });
}

void Daemon::OnSignal() {
  switch (phase_) {
    case Phase::kServing:
      BeginGracePeriod();
      return;
    case Phase::kGracePeriod:
      JJ_LOG(kDaemon, INFO) << "second signal: ending the grace period";
      main_timers_.Cancel(grace_timer_);
      StopAccepting();
      return;
    case Phase::kDraining:
      JJ_LOG(kDaemon, WARNING)
          << "another signal: cutting off requests in flight";
      OnShutdownLimit();
      return;
    case Phase::kStopped:
      return;
  }
}

void Daemon::BeginGracePeriod() {
  phase_ = Phase::kGracePeriod;
  JJ_LOG(kDaemon, INFO)
      << "shutting down: not ready, accepting connections for another "
      << ToMilliseconds(config_.shutdown_grace) << " ms";
  ApiServer& frontend = registry_.Find<ApiServer>(kFrontend);
  ControlPlane& control = registry_.Find<ControlPlane>(kControl);
  boost::asio::post(frontend_.context(),
                    [&frontend] { frontend.BeginDrain(); });
  boost::asio::post(control_.context(),
                    [&control] { control.AnnounceDraining(); });
  grace_timer_ = main_timers_.ScheduleAfter(config_.shutdown_grace,
                                            [this] { StopAccepting(); });
  main_timers_.ScheduleAfter(config_.shutdown_limit,
                             [this] { OnShutdownLimit(); });
}

void Daemon::StopAccepting() {
  phase_ = Phase::kDraining;
  JJ_LOG(kDaemon, INFO) << "draining: no longer accepting connections";
  ApiServer& frontend = registry_.Find<ApiServer>(kFrontend);
  boost::asio::post(frontend_.context(), [this, &frontend] {
    frontend.StopAccepting([this] {
      boost::asio::post(main_context_, [this] { CheckDrained(); });
    });
  });
}

// All callers have been answered by now. Also waits for requests that still run
// after their caller disconnected, or on behalf of another daemon.
void Daemon::CheckDrained() {
  QueryPipeline& query = registry_.Find<QueryPipeline>(kQuery);
  boost::asio::post(query_.context(), [this, &query] {
    std::size_t in_flight = query.service().in_flight();
    boost::asio::post(main_context_, [this, in_flight] {
      if (in_flight == 0)
        End(kExitOk);
      else
        main_timers_.ScheduleAfter(kDrainCheckInterval,
                                   [this] { CheckDrained(); });
    });
  });
}

void Daemon::OnShutdownLimit() {
  if (phase_ == Phase::kStopped)
    return;
  std::size_t cut_off = CutOffRequests();
  JJ_LOG(kDaemon, ERROR) << "shutdown limit reached: cut off " << cut_off
                         << " requests of callers";
  End(kExitCutOff);
}

std::size_t Daemon::CutOffRequests() {
  ApiServer& frontend = registry_.Find<ApiServer>(kFrontend);
  std::promise<std::size_t> cut_off;
  boost::asio::post(frontend_.context(), [&frontend, &cut_off] {
    cut_off.set_value(frontend.CloseAll());
  });
  return cut_off.get_future().get();
}

void Daemon::End(int exit_code) {
  if (phase_ == Phase::kStopped)
    return;
  phase_ = Phase::kStopped;
  exit_code_ = exit_code;
  JJ_LOG(kDaemon, INFO) << "exit code " << exit_code;
  main_context_.stop();
}

void Daemon::StopThreads() {
  for (EventLoopThread* thread : {&frontend_, &query_, &control_})
    thread->Stop();
  for (std::unique_ptr<EventLoopThread>& it : upstream_)
    it->Stop();
  SetThisThreadTelemetryChannel(nullptr);
  // Stopped last, so that it writes the records of the other threads.
  telemetry_.StopWhenIdle();
}

}  // namespace jujubecove

#include "front/front_daemon.h"

#include <unistd.h>
#include <csignal>

#include <utility>

#include "base/random.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLogBufferBytes = 256U << 10U;
constexpr Duration kLogFlushInterval = milliseconds(100);
constexpr std::size_t kOperationsConnections = 64;
constexpr std::size_t kPeerConnections = 1024;
// Of the connections and of the memory for replies, the part for queries that
// pass between VMs.
constexpr std::size_t kHandoverShare = 4;
// The balancer checks readiness every second and removes a VM after two failed
// checks.
constexpr Duration kBalancerRemovalTime = milliseconds(2400);
constexpr Duration kDrainCheckInterval = milliseconds(100);
// While draining, connections idle for this long are closed.
constexpr Duration kDrainIdleTimeout = milliseconds(250);
// Before the kill, requests that are not at a searcher are refused, because
// they might not finish in time; then the others are answered, and the process
// exits by itself once the answers have had time to be sent.
constexpr Duration kRefuseBeforeKill = milliseconds(1500);
constexpr Duration kAnswerBeforeKill = milliseconds(350);
constexpr Duration kExitBeforeKill = milliseconds(200);
// Interval of the checks for a changed settings file.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

void SetLogLevels(LogLevel level) {
  for (int n = 0; n < kLogCategoryCount; ++n)
    SetLogLevel(static_cast<LogCategory>(n), level);
}

}  // namespace

FrontDaemon::FrontDaemon(FrontConfig config, SettingsSource source)
    : config_(std::move(config)),
      source_(std::move(source)),
      timers_(context_),
      sink_(STDOUT_FILENO, kLogBufferBytes),
      log_(sink_, config_.vm.value(), config_.log_lines_per_second),
      store_(context_, timers_, config_.store, config_.store_call_timeout),
      metrics_(registry_),
      transport_(context_,
                 timers_,
                 searcher_protocol_,
                 config_.max_reply_memory),
      dispatcher_(timers_,
                  transport_,
                  log_,
                  registry_,
                  config_.dispatch,
                  SystemSeed()),
      discovery_(timers_,
                 store_,
                 codec_,
                 log_,
                 {OwnEntry(), config_.store_watch_wait, SystemSeed()},
                 DiscoveryCallbacks()),
      operations_host_(
          [this](const std::string& path) { return AnswerOperations(path); }),
      caller_server_(context_,
                     timers_,
                     *this,
                     caller_protocol_,
                     config_.max_connections),
      readiness_server_(context_,
                        timers_,
                        operations_host_,
                        operations_protocol_,
                        kOperationsConnections),
      metrics_server_(context_,
                      timers_,
                      operations_host_,
                      operations_protocol_,
                      kOperationsConnections),
      peer_server_(context_, timers_, kPeerConnections),
      peer_client_(context_, timers_),
      handover_(context_,
                timers_,
                dispatcher_,
                discovery_.fleet(),
                peer_server_,
                peer_client_,
                log_,
                registry_,
                MakeHandoverOptions()),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {
  dispatcher_.SetLeavingHandler([this](const SearcherEntry& entry) {
    discovery_.OnSearcherLeaving(entry);
  });
}

DiscoveryClient::Callbacks FrontDaemon::DiscoveryCallbacks() {
  return {.table_changed =
              [this](RouteTablePtr table) {
                dispatcher_.SetTable(std::move(table));
              },
          .searcher_changed =
              [this](SearcherChange change, const SearcherEntry& entry) {
                dispatcher_.OnSearcherChange(change, entry);
              },
          .fleet_size_changed =
              [this](int size) {
                DecisionLine(log_, LogCategory::kMembership,
                             DecisionPriority::kStateChange, "fleet_size",
                             timers_.Now())
                    .Add("daemons", size);
                dispatcher_.SetFleetSize(size);
              }};
}

DaemonEntry FrontDaemon::OwnEntry() const {
  DaemonEntry entry;
  entry.vm = config_.vm;
  entry.zone = config_.zone;
  entry.incarnation = IncarnationId(SystemSeed());
  if (config_.listen_peers.port != 0)
    entry.peer_address = config_.listen_peers;
  if (config_.listen_queries.port != 0)
    entry.query_address = config_.listen_queries;
  entry.cpu_share = config_.cpu_share;
  return entry;
}

HandoverOptions FrontDaemon::MakeHandoverOptions() const {
  HandoverOptions handover;
  handover.vm = config_.vm;
  handover.zone = config_.zone;
  handover.cpu_share = config_.cpu_share;
  // Peers are asked for their load at the other address.
  if (config_.listen_peers.port != 0)
    handover.listen = config_.listen_queries;
  handover.max_connections = config_.max_connections / kHandoverShare;
  handover.max_reply_memory = config_.max_reply_memory / kHandoverShare;
  handover.seed = SystemSeed();
  return handover;
}

FrontDaemon::~FrontDaemon() {
  SetLogOutput(nullptr);
}

Result<void> FrontDaemon::Start() {
  SetLogFormat(LogFormat::kJson);
  SetLogOutput([this](std::string_view line) { sink_.Append(line); });
  SetLogLevels(config_.log_level);
  Result<void> listening = caller_server_.Listen(config_.listen_callers);
  if (listening)
    listening = readiness_server_.Listen(config_.listen_readiness);
  if (listening && config_.listen_metrics.port != 0)
    listening = metrics_server_.Listen(config_.listen_metrics);
  if (listening && config_.listen_peers.port != 0)
    listening = peer_server_.Listen(config_.listen_peers);
  if (listening)
    listening = handover_.Start();
  if (!listening)
    return listening;
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "started", timers_.Now())
      .Add("zone", config_.zone.value())
      .Add("callers", config_.listen_callers.ToString())
      .Add("store", config_.store.ToString());
  WaitForSignal();
  discovery_.Start();
  FlushLog();
  WatchSettings();
  return boost::outcome_v2::success();
}

int FrontDaemon::Run() {
  context_.run();
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "stopped", timers_.Now())
      .Add("connections", caller_server_.connections());
  sink_.Flush();
  return 0;
}

void FrontDaemon::FlushLog() {
  sink_.Flush();
  timers_.ScheduleAfter(kLogFlushInterval, [this] { FlushLog(); });
}

const IngressLimits& FrontDaemon::limits() const {
  const RouteTablePtr& table = dispatcher_.table();
  return table ? table->config().limits : default_limits_;
}

std::shared_ptr<PendingRequest> FrontDaemon::Submit(
    ForwardedRequestPtr request,
    RequestRun::AnswerHandler done) {
  if (!draining_ || CanFinish(*request))
    return handover_.Submit(std::move(request), std::move(done));
  done(RefusalWhileStopping());
  return nullptr;
}

bool FrontDaemon::IsPastCutoff() const {
  return timers_.Now() - drain_started_ >
         config_.drain_grace - kRefuseBeforeKill;
}

bool FrontDaemon::CanFinish(const ForwardedRequest& request) const {
  TimePoint end = drain_started_ + config_.drain_grace - kAnswerBeforeKill;
  return !IsPastCutoff() &&
         timers_.Now() + dispatcher_.EstimateAnswerTime(request) < end;
}

void FrontDaemon::OnRequestRejected(ErrorKind kind, const std::string& reason) {
  DecisionLine(log_, LogCategory::kFrontend, DecisionPriority::kNotable,
               "input_refused", timers_.Now())
      .Add("error", NameOf(kind))
      .Add("reason", reason);
}

CallerAnswer FrontDaemon::AnswerOperations(const std::string& path) {
  CallerAnswer answer;
  answer.status = kStatusOk;
  if (path == "/metrics") {
    metrics_.Update(CollectState(), timers_.Now());
    answer.body = registry_.ToPrometheus();
    return answer;
  }
  // An isolated VM leaves its callers to VMs of other availability zones. The
  // balancer turns to these when no VM of the zone is ready.
  if (draining_ || !discovery_.IsSynced() || dispatcher_.IsImpaired()) {
    answer.error = draining_ ? ErrorKind::kShuttingDown : ErrorKind::kNotReady;
    answer.reason = draining_                ? "stopping"
                    : !discovery_.IsSynced() ? "no configuration is known yet"
                                             : kIsolatedReason;
  } else {
    answer.body = "ready\n";
  }
  return answer;
}

FrontState FrontDaemon::CollectState() const {
  const RouteTablePtr& table = dispatcher_.table();
  FrontState state;
  state.config_version = table ? table->version().value() : 0;
  state.config_applied_at = discovery_.table_applied_at();
  state.ready_searchers = dispatcher_.ready_searchers();
  state.fleet_size = dispatcher_.fleet_size();
  state.unreachable_zones = dispatcher_.unreachable_zones();
  state.store_connected = discovery_.IsStoreConnected();
  state.caller_connections = caller_server_.connections();
  state.log_lines_left_out = log_.left_out() + sink_.dropped();
  state.egress = transport_.stats();
  state.store_calls = discovery_.store_calls();
  return state;
}

void FrontDaemon::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec)
      return;
    if (signal == SIGHUP)
      Reload();
    else
      BeginDrain();
    WaitForSignal();
  });
}

void FrontDaemon::WatchSettings() {
  std::error_code ec;
  std::filesystem::file_time_type time =
      std::filesystem::last_write_time(source_.path, ec);
  bool first = settings_time_ == std::filesystem::file_time_type{};
  if (!ec && time != settings_time_) {
    settings_time_ = time;
    if (!first)
      Reload();
  }
  timers_.ScheduleAfter(kSettingsCheckInterval, [this] { WatchSettings(); });
}

void FrontDaemon::Reload() {
  std::vector<SettingFault> faults;
  FrontConfig config = LoadFrontConfig(source_, faults);
  DecisionLine line(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
                    faults.empty() ? "settings_reloaded" : "settings_refused",
                    timers_.Now());
  if (!faults.empty()) {
    line.Add("reason", faults.front().ToString());
    return;
  }
  config_.drain_grace = config.drain_grace;
  dispatcher_.SetOptions(config.dispatch);
  log_.set_lines_per_second(config.log_lines_per_second);
  SetLogLevels(config.log_level);
}

// Serves requests until the balancer has removed this VM. Then closes idle
// connections, and exits when no connection is left or the grace is about to
// end.
void FrontDaemon::BeginDrain() {
  if (draining_) {
    context_.stop();
    return;
  }
  draining_ = true;
  drain_started_ = timers_.Now();
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "draining", drain_started_)
      .Add("connections", caller_server_.connections());
  discovery_.Leave([] {});
  handover_.BeginDrain();
  timers_.ScheduleAfter(kBalancerRemovalTime, [this] { ContinueDrain(); });
  timers_.ScheduleAfter(config_.drain_grace - kAnswerBeforeKill,
                        [this] { EndDrain(); });
}

void FrontDaemon::ContinueDrain() {
  caller_server_.StopAccepting();
  caller_server_.CloseIdle(kDrainIdleTimeout);
  if (caller_server_.connections() == 0 && handover_.taken_over() == 0) {
    context_.stop();
    return;
  }
  if (IsPastCutoff()) {
    caller_server_.RefuseIfNotRun();
    handover_.RefuseIfNotRun();
  }
  timers_.ScheduleAfter(kDrainCheckInterval, [this] { ContinueDrain(); });
}

void FrontDaemon::EndDrain() {
  caller_server_.EndNow();
  handover_.EndNow();
  timers_.ScheduleAfter(kAnswerBeforeKill - kExitBeforeKill,
                        [this] { context_.stop(); });
}

}  // namespace jujubecove

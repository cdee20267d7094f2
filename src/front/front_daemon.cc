#include "front/front_daemon.h"

#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLogBufferBytes = 256U << 10U;
constexpr Duration kLogFlushInterval = milliseconds(100);
// Memory that a caller's connection may take also when that of all connections
// is used up: an ordinary request fits.
constexpr std::size_t kMinMemoryPerConnection = 8192;
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

// Half of an equal share.
std::size_t MemoryPerConnection(const FrontConfig& config) {
  return std::max(config.max_caller_memory / (2 * config.max_connections + 1),
                  kMinMemoryPerConnection);
}

void SetLogLevels(LogLevel level) {
  for (int n = 0; n < kLogCategoryCount; ++n)
    SetLogLevel(static_cast<LogCategory>(n), level);
}

}  // namespace

FrontDaemon::FrontDaemon(FrontConfig config, SettingsSource source)
    : config_(std::move(config)),
      own_entry_(OwnEntry()),
      source_(std::move(source)),
      timers_(context_),
      sink_(STDOUT_FILENO, kLogBufferBytes),
      log_(sink_, config_.vm.value(), config_.log_lines_per_second),
      store_(context_, timers_, config_.store, config_.store_call_timeout),
      peer_client_(context_, timers_),
      reader_link_(peer_client_),
      relayed_store_(timers_, store_, reader_link_, log_, RelayOptions()),
      metrics_(registry_),
      transport_(context_,
                 timers_,
                 searcher_protocol_,
                 config_.max_reply_memory),
      authenticator_(credential_protocol_, timers_, log_, registry_),
      dispatcher_(timers_,
                  transport_,
                  log_,
                  registry_,
                  config_.dispatch,
                  SystemSeed()),
      discovery_(timers_,
                 relayed_store_,
                 codec_,
                 log_,
                 {own_entry_, config_.store_watch_wait, SystemSeed()},
                 DiscoveryCallbacks()),
      caller_memory_(timers_,
                     config_.max_caller_memory,
                     MemoryPerConnection(config_)),
      operations_host_(
          [this](const std::string& path) { return AnswerOperations(path); }),
      caller_server_(context_,
                     timers_,
                     *this,
                     caller_protocol_,
                     config_.max_connections,
                     &caller_memory_),
      readiness_server_(context_,
                        timers_,
                        operations_host_,
                        operations_protocol_,
                        config_.max_operations_connections,
                        &caller_memory_),
      metrics_server_(context_,
                      timers_,
                      operations_host_,
                      operations_protocol_,
                      config_.max_operations_connections,
                      &caller_memory_),
      peer_server_(context_,
                   timers_,
                   config_.max_peer_connections,
                   &caller_memory_),
      quota_(QuotaEnvironment(),
             config_.quota,
             own_entry_,
             discovery_.fleet(),
             [this] { return discovery_.view_confirmed_at(); }),
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
  relayed_store_.Attach(discovery_.fleet());
  ServeChanges(peer_server_, relayed_store_.relay());
}

DiscoveryClient::Callbacks FrontDaemon::DiscoveryCallbacks() {
  return {.table_changed =
              [this](RouteTablePtr table) {
                quota_.SetTable(table);
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
              },
          .zone_evacuated =
              [this](const ZoneName& zone, bool evacuated) {
                dispatcher_.SetZoneEvacuated(zone, evacuated);
              },
          .store_regained =
              [this](Duration outage) {
                relayed_store_.relay().OnOutageEnded(outage);
              }};
}

QuotaService::Environment FrontDaemon::QuotaEnvironment() {
  return {timers_, peer_server_, peer_client_, log_, registry_};
}

RelayedKvStore::Options FrontDaemon::RelayOptions() const {
  bool can_relay = config_.listen_peers.port != 0;
  return {.choice = {.own = config_.vm,
                     .zone = config_.zone,
                     .min_daemons = can_relay ? config_.relay_min_vms : 0},
          .reader_wait = config_.relay_reader_wait,
          .poll_wait = config_.relay_poll_wait};
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
  if (draining_ && !CanFinish(*request)) {
    done(RefusalWhileStopping());
    return nullptr;
  }
  if (std::optional<CallerAnswer> refusal =
          authenticator_.Authenticate(dispatcher_.table(), request)) {
    done(std::move(*refusal));
    return nullptr;
  }
  return quota_.Submit(
      std::move(request), std::move(done),
      [this](ForwardedRequestPtr admitted, RequestRun::AnswerHandler handler) {
        return handover_.Submit(std::move(admitted), std::move(handler));
      });
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

void FrontDaemon::OnConnectionDropped(const std::string& reason) {
  DecisionLine(log_, LogCategory::kFrontend, DecisionPriority::kNotable,
               "caller_dropped", timers_.Now())
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
  state.evacuated_zones = dispatcher_.evacuated_zones();
  state.store_connected = discovery_.IsStoreConnected();
  state.caller_connections = caller_server_.connections();
  state.callers_displaced = caller_server_.displaced();
  state.caller_memory = caller_memory_.used();
  state.requests_refused_for_memory = caller_memory_.refused();
  state.answers_dropped_for_memory = caller_memory_.dropped();
  state.log_lines_left_out = log_.left_out() + sink_.dropped();
  state.egress = transport_.stats();
  state.store_calls = discovery_.store_calls();
  state.relay = relayed_store_.stats();
  state.is_store_reader = relayed_store_.is_reader();
  state.follows_store_reader = relayed_store_.follows_reader();
  state.store_view_age = relayed_store_.ViewAge();
  state.relay_polls = relayed_store_.relay().polls();
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
  // Other VMs grant this one's parts as soon as it is not registered any more.
  quota_.Stop();
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

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
// The balancer asks each second and takes a VM out after two misses.
constexpr Duration kBalancerDelay = milliseconds(2400);
constexpr Duration kDrainInterval = milliseconds(100);
// A connection that has been idle this long while draining is closed.
constexpr Duration kDrainIdle = milliseconds(250);
// Before the kill, requests that would not be finished in time are refused, and
// the process ends by itself.
constexpr Duration kRefuseBeforeKill = milliseconds(1500);
constexpr Duration kExitBeforeKill = milliseconds(350);
// A change of the settings file without a signal is seen within this time.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

void SetLogLevels(LogLevel level) {
  for (int n = 0; n < kLogCategoryCount; ++n)
    SetLogLevel(static_cast<LogCategory>(n), level);
}

}  // namespace

FrontDaemon::FrontDaemon(FrontConfig config, std::string path)
    : config_(std::move(config)),
      path_(std::move(path)),
      timers_(context_),
      sink_(STDOUT_FILENO, kLogBufferBytes),
      log_(sink_, config_.vm.value(), config_.log_lines_per_second),
      store_(context_, timers_, config_.store, config_.store_call_timeout),
      metrics_(registry_),
      transport_(context_, timers_, searcher_protocol_),
      dispatcher_(timers_,
                  transport_,
                  log_,
                  registry_,
                  config_.dispatch,
                  SystemSeed()),
      directory_(
          timers_,
          store_,
          codec_,
          log_,
          {config_.vm, config_.zone, config_.store_watch_wait, SystemSeed()},
          DirectoryCallbacks()),
      operations_(
          [this](const std::string& path) { return AnswerOperations(path); }),
      callers_(context_,
               timers_,
               *this,
               caller_protocol_,
               config_.max_connections),
      readiness_(context_,
                 timers_,
                 operations_,
                 operations_protocol_,
                 kOperationsConnections),
      metrics_server_(context_,
                      timers_,
                      operations_,
                      operations_protocol_,
                      kOperationsConnections),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

DiscoveryClient::Callbacks FrontDaemon::DirectoryCallbacks() {
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

FrontDaemon::~FrontDaemon() {
  SetLogOutput(nullptr);
}

Result<void> FrontDaemon::Start() {
  SetLogFormat(LogFormat::kJson);
  SetLogOutput([this](std::string_view line) { sink_.Append(line); });
  SetLogLevels(config_.log_level);
  Result<void> listening = callers_.Listen(config_.listen_callers);
  if (listening)
    listening = readiness_.Listen(config_.listen_readiness);
  if (listening && config_.listen_metrics.port != 0)
    listening = metrics_server_.Listen(config_.listen_metrics);
  if (!listening)
    return listening;
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "started", timers_.Now())
      .Add("zone", config_.zone.value())
      .Add("callers", config_.listen_callers.ToString())
      .Add("store", config_.store.ToString());
  WaitForSignal();
  directory_.Start();
  FlushLog();
  WatchSettings();
  return boost::outcome_v2::success();
}

int FrontDaemon::Run() {
  context_.run();
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "stopped", timers_.Now())
      .Add("connections", callers_.connections());
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

std::shared_ptr<RequestRun> FrontDaemon::Submit(
    ForwardedRequestPtr request,
    RequestRun::AnswerHandler done) {
  bool too_late = leaving_ && timers_.Now() - drain_started_ >
                                  config_.drain_grace - kRefuseBeforeKill;
  if (!too_late)
    return dispatcher_.Submit(std::move(request), std::move(done));
  CallerAnswer answer;
  answer.error = ErrorKind::kShuttingDown;
  answer.reason = "this VM is about to stop";
  answer.retry_after = Duration(0);
  done(std::move(answer));
  return nullptr;
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
    metrics_.Update(State(), timers_.Now());
    answer.body = registry_.ToPrometheus();
    return answer;
  }
  if (leaving_ || !directory_.IsSynced()) {
    answer.error = leaving_ ? ErrorKind::kShuttingDown : ErrorKind::kNotReady;
    answer.reason = leaving_ ? "stopping" : "no configuration is known yet";
  } else {
    answer.body = "ready\n";
  }
  return answer;
}

FrontState FrontDaemon::State() const {
  const RouteTablePtr& table = dispatcher_.table();
  FrontState state;
  state.config_version = table ? table->version().value() : 0;
  state.config_since = directory_.table_applied_at();
  state.ready_searchers = dispatcher_.ready_searchers();
  state.fleet_size = dispatcher_.fleet_size();
  state.store_connected = directory_.IsStoreConnected();
  state.caller_connections = callers_.connections();
  state.log_lines_left_out = log_.left_out() + sink_.dropped();
  state.egress = transport_.stats();
  state.store_calls = directory_.store_calls();
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
      std::filesystem::last_write_time(path_, ec);
  bool first = settings_time_ == std::filesystem::file_time_type{};
  if (!ec && time != settings_time_) {
    settings_time_ = time;
    if (!first)
      Reload();
  }
  timers_.ScheduleAfter(kSettingsInterval, [this] { WatchSettings(); });
}

void FrontDaemon::Reload() {
  std::vector<SettingFault> faults;
  FrontConfig config = LoadFrontConfig(path_, faults);
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

// Requests are served until the balancer has taken this VM out; then idle
// connections are closed, and the process ends when none is left.
void FrontDaemon::BeginDrain() {
  if (leaving_) {
    context_.stop();
    return;
  }
  leaving_ = true;
  drain_started_ = timers_.Now();
  DecisionLine(log_, LogCategory::kDaemon, DecisionPriority::kStateChange,
               "draining", drain_started_)
      .Add("connections", callers_.connections());
  directory_.Leave([] {});
  timers_.ScheduleAfter(kBalancerDelay, [this] { ContinueDrain(); });
}

void FrontDaemon::ContinueDrain() {
  Duration passed = timers_.Now() - drain_started_;
  callers_.StopAccepting();
  callers_.CloseIdle(kDrainIdle);
  if (callers_.connections() == 0 ||
      passed > config_.drain_grace - kExitBeforeKill) {
    context_.stop();
    return;
  }
  timers_.ScheduleAfter(kDrainInterval, [this] { ContinueDrain(); });
}

}  // namespace jujubecove

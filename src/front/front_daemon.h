#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <memory>
#include <string>

#include "discovery/discovery_client.h"
#include "dispatch/dispatcher.h"
#include "egress/http_searcher_transport.h"
#include "front/front_metrics.h"
#include "front/front_settings.h"
#include "front/operations_host.h"
#include "ingress/ingress_server.h"
#include "kernel/asio_timer_service.h"
#include "platform/http_protocol.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// The entry daemon on the platform. All duties share one event thread: on a
// VM with part of one core, passing a request between threads costs more than
// its decisions do.
class FrontDaemon : public IngressHost {
 public:
  // `path` is read again when it changes or on SIGHUP.
  FrontDaemon(FrontConfig config, std::string path);
  ~FrontDaemon() override;

  Result<void> Start();
  // Serves until a signal to stop; the exit code of the process.
  int Run();

  const IngressLimits& limits() const override;
  std::shared_ptr<RequestRun> Submit(ForwardedRequestPtr request,
                                     RequestRun::AnswerHandler done) override;
  bool IsDraining() const override { return leaving_; }
  void OnRequestRejected(ErrorKind kind, const std::string& reason) override;

 private:
  DiscoveryClient::Callbacks DirectoryCallbacks();
  CallerAnswer AnswerOperations(const std::string& path);
  void WaitForSignal();
  void Reload();
  // Reloads the settings when the file changes without a signal.
  void WatchSettings();
  void BeginDrain();
  void ContinueDrain();
  void FlushLog();
  FrontState State() const;

  FrontConfig config_;
  std::string path_;
  std::filesystem::file_time_type settings_time_;
  boost::asio::io_context context_;
  AsioTimerService timers_;
  LineSink sink_;
  DecisionLog log_;
  platform::PlatformCallerProtocol caller_protocol_;
  platform::PlatformSearcherProtocol searcher_protocol_;
  platform::PlatformRegistrationCodec codec_;
  platform::PlatformKvClient store_;
  MetricsRegistry registry_;
  FrontMetrics metrics_;
  HttpSearcherTransport transport_;
  Dispatcher dispatcher_;
  DiscoveryClient directory_;
  OperationsProtocol operations_protocol_;
  OperationsHost operations_;
  IngressServer callers_;
  IngressServer readiness_;
  IngressServer metrics_server_;
  boost::asio::signal_set signals_;
  IngressLimits default_limits_;
  bool leaving_ = false;
  TimePoint drain_started_{};
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <memory>
#include <string>

#include "discovery/discovery_client.h"
#include "dispatch/dispatcher.h"
#include "dispatch/request_authenticator.h"
#include "egress/http_searcher_transport.h"
#include "front/front_metrics.h"
#include "front/front_settings.h"
#include "front/operations_host.h"
#include "handover/query_handover.h"
#include "ingress/ingress_server.h"
#include "kernel/asio_timer_service.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "platform/credential_protocol.h"
#include "platform/http_protocol.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "quota/quota_service.h"
#include "relay/peer_reader_link.h"
#include "relay/relayed_kv_store.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// The entry daemon on the platform. Runs on a single event thread, because on a
// VM with part of one core, passing a request between threads costs more than
// its routing decisions.
class FrontDaemon : public IngressHost {
 public:
  // The settings are reloaded when their file changes, and on SIGHUP.
  FrontDaemon(FrontConfig config, SettingsSource source);
  ~FrontDaemon() override;

  Result<void> Start();
  // Serves until a signal has shut the daemon down; returns the exit code.
  int Run();

  const IngressLimits& limits() const override;
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override;
  bool ClosesConnections() const override {
    return draining_ || dispatcher_.IsImpaired();
  }
  void OnRequestRejected(ErrorKind kind, const std::string& reason) override;
  void OnConnectionDropped(const std::string& reason) override;

 private:
  DiscoveryClient::Callbacks DiscoveryCallbacks();
  DaemonEntry OwnEntry() const;
  QuotaService::Environment QuotaEnvironment();
  RelayedKvStore::Options RelayOptions() const;
  HandoverOptions MakeHandoverOptions() const;
  CallerAnswer AnswerOperations(const std::string& path);
  void WaitForSignal();
  void Reload();
  // Polls the settings file and reloads it when it has changed.
  void WatchSettings();
  void BeginDrain();
  void ContinueDrain();
  // Answers what is still in progress and exits shortly after.
  void EndDrain();
  // Whether a request that arrives now can be answered before this process
  // exits.
  bool CanFinish(const ForwardedRequest& request) const;
  // Whether the rest of the grace is left to requests that are at searchers.
  bool IsPastCutoff() const;
  void FlushLog();
  FrontState CollectState() const;

  FrontConfig config_;
  // The registration of this process.
  DaemonEntry own_entry_;
  SettingsSource source_;
  std::filesystem::file_time_type settings_time_;
  boost::asio::io_context context_;
  AsioTimerService timers_;
  LineSink sink_;
  DecisionLog log_;
  platform::PlatformCallerProtocol caller_protocol_;
  platform::PlatformSearcherProtocol searcher_protocol_;
  platform::PlatformRegistrationCodec codec_;
  platform::PlatformKvClient store_;
  PeerClient peer_client_;
  PeerReaderLink reader_link_;
  RelayedKvStore relayed_store_;
  MetricsRegistry registry_;
  FrontMetrics metrics_;
  HttpSearcherTransport transport_;
  platform::PlatformCredentialProtocol credential_protocol_;
  RequestAuthenticator authenticator_;
  Dispatcher dispatcher_;
  DiscoveryClient discovery_;
  CallerMemory caller_memory_;
  OperationsProtocol operations_protocol_;
  OperationsHost operations_host_;
  IngressServer caller_server_;
  IngressServer readiness_server_;
  IngressServer metrics_server_;
  PeerServer peer_server_;
  QuotaService quota_;
  QueryHandover handover_;
  boost::asio::signal_set signals_;
  IngressLimits default_limits_;
  bool draining_ = false;
  TimePoint drain_started_{};
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "api/api_server.h"
#include "api/query_service_proxy.h"
#include "base/ids.h"
#include "base/result.h"
#include "daemon/control_plane.h"
#include "daemon/daemon_settings.h"
#include "daemon/event_loop_thread.h"
#include "daemon/null_ticket_forwarder.h"
#include "daemon/query_pipeline.h"
#include "daemon/upstream_pool.h"
#include "document/document.h"
#include "kernel/service_registry.h"
#include "telemetry/metrics.h"
#include "telemetry/telemetry_writer.h"
#include "telemetry/tracer.h"
#include "upstream/upstream_channel.h"

namespace jujubecove {

// The entry daemon. Creates, connects and shuts down the services of all
// threads.
class Daemon {
 public:
  // Reloads the operators' document; returns the first fault as the error.
  using DocumentLoader =
      std::function<Result<std::shared_ptr<const Document>>()>;

  Daemon(const DaemonConfig& config, std::string version);
  ~Daemon();

  // Creates and starts all services. The daemon stays not ready without a
  // document. If there is a loader, SIGHUP applies the document that it
  // returns.
  Result<void> Start(std::shared_ptr<const Document> document,
                     DocumentLoader loader = nullptr);
  // Serves until a signal has shut the daemon down; returns the exit code.
  int Run();

 private:
  enum class Phase {
    kServing,
    // Reports not ready, but still accepts connections.
    kGracePeriod,
    // Finishes the requests in flight.
    kDraining,
    kStopped,
  };

  void PublishBaseServices();
  void PublishQueryAndControl();
  void ConnectServices(std::shared_ptr<const Document> document);
  Result<void> Listen();
  void StartThreads();
  void WaitForSignal();
  void OnSignal();
  void Reload();
  void BeginGracePeriod();
  void StopAccepting();
  void CheckDrained();
  void OnShutdownLimit();
  void End(int exit_code);
  std::size_t CutOffRequests();
  void StopThreads();

  DaemonConfig config_;
  std::string version_;
  DocumentLoader loader_;
  IncarnationId incarnation_;

  // Run on the main thread, for signals and the shutdown.
  boost::asio::io_context main_context_;
  AsioTimerService main_timers_;
  boost::asio::signal_set signals_;
  Phase phase_ = Phase::kServing;
  int exit_code_ = 0;
  TimerId grace_timer_;

  MetricsRegistry metrics_;
  // Declared before `registry_`, so that the threads outlive the services that
  // run on them. The threads are stopped before the services are destroyed.
  EventLoopThread telemetry_{"telemetry"};
  EventLoopThread control_{"control"};
  std::vector<std::unique_ptr<EventLoopThread>> upstream_;
  EventLoopThread query_{"query"};
  EventLoopThread frontend_{"frontend"};
  std::unique_ptr<TaskChannel> frontend_tasks_;
  ServiceRegistry registry_;
};

}  // namespace jujubecove

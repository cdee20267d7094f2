#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "daemon/control_side.h"
#include "daemon/daemon_settings.h"
#include "daemon/duty_thread.h"
#include "daemon/query_side.h"
#include "daemon/unreachable_owners.h"
#include "daemon/upstream_side.h"
#include "document/document.h"
#include "frontend/api_server.h"
#include "frontend/query_service_proxy.h"
#include "kernel/service_registry.h"
#include "telemetry/metrics.h"
#include "telemetry/telemetry_writer.h"
#include "telemetry/tracer.h"
#include "upstream/upstream_channel.h"

namespace jujubecove {

// The entry daemon: wires the services of all threads and shuts them down.
class Daemon {
 public:
  // Reads the operators' document again; fails with the first fault.
  using DocumentLoader =
      std::function<Result<std::shared_ptr<const Document>>()>;

  Daemon(const DaemonConfig& config, std::string version);
  ~Daemon();

  // Builds and starts everything. Without a document it is not ready. With a
  // loader, SIGHUP puts the document that it returns in force.
  Result<void> Start(std::shared_ptr<const Document> document,
                     DocumentLoader loader = nullptr);
  // Serves until a signal has led to a shutdown; returns the exit code.
  int Run();

 private:
  enum class Phase {
    kServing,
    // Not ready, but still accepting.
    kGrace,
    // Finishing what is in flight.
    kFinishing,
    kStopped,
  };

  void PublishParts();
  void PublishSides();
  void Connect(std::shared_ptr<const Document> document);
  Result<void> Listen();
  void StartThreads();
  void AwaitSignal();
  void OnSignal();
  void Reload();
  void BeginGrace();
  void StopAccepting();
  void CheckFinished();
  void OnLimit();
  void End(int exit_code);
  std::size_t CutOff();
  void StopThreads();

  DaemonConfig config_;
  std::string version_;
  DocumentLoader loader_;
  IncarnationId incarnation_;

  // The main thread's own, for signals and the shutdown.
  boost::asio::io_context main_context_;
  AsioTimerService main_timers_;
  boost::asio::signal_set signals_;
  Phase phase_ = Phase::kServing;
  int exit_code_ = 0;
  TimerId grace_timer_;

  MetricsRegistry metrics_;
  // Destroyed after everything that lives on the threads. A thread is stopped
  // before the parts that it runs are destroyed.
  DutyThread telemetry_{"telemetry"};
  DutyThread control_{"control"};
  std::vector<std::unique_ptr<DutyThread>> upstream_;
  DutyThread query_{"query"};
  DutyThread frontend_{"frontend"};
  std::unique_ptr<TaskRing> query_to_frontend_;
  ServiceRegistry registry_;
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "config/activator.h"
#include "config/config_records.h"
#include "kernel/asio_timer_service.h"
#include "store/http_store.h"

namespace jujubecove {

// The platform's service, for one command: calls block until they are answered.
class StoreSession {
 public:
  static Result<std::unique_ptr<StoreSession>> Open(const std::string& address);

  // The record of the version in force; absent while there is none. Repeats
  // reads that got no answer for a bounded time.
  Result<std::optional<ActiveRecord>> ReadActive();
  // The canonical text of a version.
  Result<std::string> ReadDocument(ConfigVersion version);
  // Names of all zones that have entry VMs.
  Result<std::vector<std::string>> ReadZones();
  std::optional<ZoneRecord> ReadZone(const std::string& zone);
  ApplyReport Apply(std::vector<std::string> zones, ApplyRequest request);

 private:
  explicit StoreSession(const HttpStoreOptions& options);

  Result<StoreReply> Read(const std::string& key);
  // Runs the event loop until `done`.
  void RunUntil(const bool& done);

  boost::asio::io_context context_;
  AsioTimerService timers_;
  HttpStore store_;
};

}  // namespace jujubecove

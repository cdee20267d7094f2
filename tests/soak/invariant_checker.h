#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "http/client_connection.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove::soak {

enum class RequestKind : std::uint8_t {
  // Idempotent, to all shards.
  kSearch,
  // Idempotent, to one searcher.
  kLookup,
  // Non-idempotent, to one searcher; must not run twice.
  kPayment,
  // To the route that a certain version of the configuration added.
  kVersionProbe,
};

struct CallerRequest {
  std::string id;
  RequestKind kind = RequestKind::kSearch;
  std::size_t daemon = 0;
  // Number of the daemon's process, counted over its restarts.
  int process_number = 0;
  std::string target;
  std::string body;
  TimePoint sent{};
  Duration deadline{};
  // For kVersionProbe: the configuration version that added the route.
  int version = 0;
};

// The result of a request as its caller sees it.
struct RequestOutcome {
  // Empty when the connection ended without an answer.
  std::optional<WireReply> reply;
  bool written = false;
  TimePoint at{};
};

// Checks what callers and searchers observe against the daemons' guarantees.
// Time bounds are checked only for daemons without recent faults, all other
// guarantees always.
class InvariantChecker {
 public:
  // Time bounds are not checked for this long after a fault.
  static constexpr Duration kSettleTime = std::chrono::seconds(4);
  static constexpr Duration kDrainBound = std::chrono::seconds(3);
  static constexpr Duration kConfigApplyBound = std::chrono::seconds(3);

  explicit InvariantChecker(std::size_t daemons) : daemons_(daemons) {}

  void set_shards(std::set<std::string> services) {
    shards_ = std::move(services);
  }
  void AddLookupService(const std::string& service) {
    lookup_services_.insert(service);
  }

  void OnFault(std::size_t daemon, TimePoint until);
  void OnStart(std::size_t daemon) { ++daemons_[daemon].process_number; }
  // The daemon was told to shut down; it must still answer its open requests.
  void OnTerminate(std::size_t daemon, TimePoint now) {
    daemons_[daemon].terminated_at = now;
  }
  int process_number(std::size_t daemon) const {
    return daemons_[daemon].process_number;
  }
  void OnConfigVersion(int version, TimePoint acknowledged) {
    config_versions_[version] = acknowledged;
  }
  int newest_version() const {
    return config_versions_.empty() ? 0 : config_versions_.rbegin()->first;
  }
  void OnDraining(const std::string& searcher, TimePoint acknowledged) {
    draining_searchers_[searcher] = acknowledged;
  }

  void OnRequest(const CallerRequest& request);
  void OnOutcome(const CallerRequest& request, const RequestOutcome& outcome);
  void OnRun(const SearcherRun& run, TimePoint now);

  // Resets the counts of finished and of successful requests. Neither includes
  // version probes nor requests whose caller disconnected.
  void StartCounting() { finished_count_ = success_count_ = 0; }
  int finished_count() const { return finished_count_; }
  int success_count() const { return success_count_; }
  int request_count() const { return static_cast<int>(records_.size()); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Record {
    CallerRequest request;
    std::vector<SearcherRun> runs;
    // The answer stated that the request did not run and never will.
    bool refused = false;
  };
  struct Daemon {
    int process_number = 0;
    TimePoint last_fault_end{};
    TimePoint terminated_at{};
    int newest_version = 0;
    int newest_version_process_number = 0;
  };

  bool IsSettled(std::size_t daemon, TimePoint from) const {
    return from > daemons_[daemon].last_fault_end + kSettleTime;
  }
  void CheckReply(const Record& record, const WireReply& reply);
  void CheckSearch(const Record& record, const WireReply& reply);
  void CheckSingle(const Record& record, const WireReply& reply);
  void CheckRefusal(Record& record, int status);
  void CheckVersion(const Record& record, int status);
  void CheckLostConnection(const Record& record, const RequestOutcome& outcome);
  // Finds the run that the proof belongs to, if it is one of this request.
  static std::optional<SearcherRun> FindRunByProof(const Record& record,
                                                   std::string_view proof);
  void AddViolation(const std::string& rule,
                    const CallerRequest& request,
                    const std::string& detail);

  std::vector<Daemon> daemons_;
  std::set<std::string> shards_;
  std::set<std::string> lookup_services_;
  std::map<int, TimePoint> config_versions_;
  std::map<std::string, TimePoint> draining_searchers_;
  std::unordered_map<std::string, Record> records_;
  std::vector<std::string> violations_;
  int finished_count_ = 0;
  int success_count_ = 0;
};

}  // namespace jujubecove::soak

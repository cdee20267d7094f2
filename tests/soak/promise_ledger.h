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

// What a caller asks for.
enum class AskKind : std::uint8_t {
  // All shards; may repeat.
  kSearch,
  // One searcher; may repeat.
  kLookup,
  // One searcher; must not run twice.
  kPayment,
  // A route that was added with one version of the configuration.
  kVersionProbe,
};

struct Ask {
  std::string id;
  AskKind kind = AskKind::kSearch;
  std::size_t daemon = 0;
  // Counts the processes of that daemon.
  int process = 0;
  std::string target;
  std::string body;
  TimePoint sent{};
  Duration deadline{};
  // For a probe, the version that added its route.
  int version = 0;
};

// How a caller's exchange ended.
struct AskOutcome {
  // Nothing when the connection ended without an answer.
  std::optional<WireReply> reply;
  bool written = false;
  TimePoint at{};
};

// What callers and searchers see of the daemons, checked against the promises.
// Bounds on time hold only for daemons that were free of faults for a while;
// everything else holds always.
class PromiseLedger {
 public:
  // Time after a fault in which bounds on time don't hold.
  static constexpr Duration kContact = std::chrono::seconds(4);
  static constexpr Duration kDrain = std::chrono::seconds(3);
  static constexpr Duration kConfigApply = std::chrono::seconds(3);

  explicit PromiseLedger(std::size_t daemons) : daemons_(daemons) {}

  void set_shards(std::set<std::string> services) {
    shards_ = std::move(services);
  }
  void AddLookupService(const std::string& service) {
    lookup_services_.insert(service);
  }

  void OnFault(std::size_t daemon, TimePoint until);
  void OnStart(std::size_t daemon) { ++daemons_[daemon].process; }
  // The daemon was asked to stop. Its open requests have to be answered.
  void OnTerminate(std::size_t daemon, TimePoint now) {
    daemons_[daemon].terminated = now;
  }
  int process(std::size_t daemon) const { return daemons_[daemon].process; }
  void OnVersion(int version, TimePoint acknowledged) {
    versions_[version] = acknowledged;
  }
  int newest_version() const {
    return versions_.empty() ? 0 : versions_.rbegin()->first;
  }
  void OnDraining(const std::string& searcher, TimePoint acknowledged) {
    draining_[searcher] = acknowledged;
  }

  void OnAsk(const Ask& ask);
  void OnOutcome(const Ask& ask, const AskOutcome& outcome);
  void OnRun(const SearcherRun& run, TimePoint now);

  // From now on, requests that end are counted: all of them, without those that
  // their caller gave up, and those that succeed.
  void StartCounting() { asked_ = served_ = 0; }
  int asked() const { return asked_; }
  int served() const { return served_; }
  int total() const { return static_cast<int>(records_.size()); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Record {
    Ask ask;
    std::vector<SearcherRun> runs;
    // A status promised that it has not run and won't.
    bool refused = false;
  };
  struct Daemon {
    int process = 0;
    TimePoint disturbed_until{};
    TimePoint terminated{};
    int newest_version = 0;
    int newest_version_process = 0;
  };

  bool IsCalm(std::size_t daemon, TimePoint from) const {
    return from > daemons_[daemon].disturbed_until + kContact;
  }
  void CheckReply(const Record& record, const WireReply& reply);
  void CheckSearch(const Record& record, const WireReply& reply);
  void CheckSingle(const Record& record, const WireReply& reply);
  void CheckRefusal(Record& record, int status);
  void CheckVersion(const Record& record, int status);
  void CheckCut(const Record& record, const AskOutcome& outcome);
  // The searcher that a proof names; nothing when it proves something else.
  static std::optional<SearcherRun> RunOfProof(const Record& record,
                                               std::string_view proof);
  void Violate(const std::string& rule,
               const Ask& ask,
               const std::string& what);

  std::vector<Daemon> daemons_;
  std::set<std::string> shards_;
  std::set<std::string> lookup_services_;
  std::map<int, TimePoint> versions_;
  std::map<std::string, TimePoint> draining_;
  std::unordered_map<std::string, Record> records_;
  std::vector<std::string> violations_;
  int asked_ = 0;
  int served_ = 0;
};

}  // namespace jujubecove::soak

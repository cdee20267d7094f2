#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "config/config_records.h"
#include "config/zone_watch.h"
#include "kernel/timer_service.h"
#include "store/store.h"

namespace jujubecove {

enum class ApplyOutcome : std::uint8_t {
  // The version was activated. It may have been superseded since.
  kInForce,
  // The version is in force nowhere and will never be.
  kNowhere,
  // The activation may have taken effect, or may still do so.
  kUnknown,
};

// What one zone was last known to do about the version.
struct ZoneReport {
  std::string zone;
  // Whether the zone reported at all since the change was proposed.
  bool reached = false;
  std::uint64_t live = 0;
  std::uint64_t staged = 0;
  std::uint64_t active = 0;
  bool in_force = false;
  // Daemons that don't hold the version, or the reason for rejecting it.
  std::vector<std::string> waiting;
  std::string rejection;
};

struct ApplyReport {
  ApplyOutcome outcome = ApplyOutcome::kNowhere;
  ConfigVersion version;
  ConfigVersion base;
  // Whether every zone has confirmed that the version is in force.
  bool everywhere = false;
  // A newer version was activated before every zone had confirmed this one.
  bool superseded = false;
  // The change was refused because another one came first.
  bool conflict = false;
  std::string reason;
  std::vector<ZoneReport> zones;
};

struct ApplyRequest {
  // Canonical and valid.
  std::string text;
  // Refuses the change when another version is in force.
  std::optional<ConfigVersion> expected_base;
  // Activates although zones or daemons don't hold the version yet, as for the
  // first document of a tier whose daemons have not been started.
  bool incomplete = false;
};

struct ActivatorOptions {
  Duration first_retry{100'000};
  Duration longest_retry{1'000'000};
  // A step that only needs the store ends after this.
  Duration store_timeout{30'000'000};
  // A zone that has not reported by then is taken for unreachable.
  Duration silent_timeout{3'000'000};
  Duration stage_timeout{10'000'000};
  Duration confirm_timeout{10'000'000};
};

// Carries out one change of the configuration for the command-line tool: stages
// the immutable document, waits until the reachable daemons of each zone hold
// it, activates it by one compare-and-swap, and waits until it is in force
// everywhere. Works through the store alone.
class Activator {
 public:
  using Handler = std::function<void(const ApplyReport&)>;

  // `zones` are all zones that have entry daemons.
  Activator(TimerService& timers,
            Store& store,
            std::vector<std::string> zones,
            ActivatorOptions options = {});
  ~Activator();

  // At most one change at a time.
  void Apply(ApplyRequest request, Handler handler);

 private:
  using Step = void (Activator::*)();

  // Repeats `step` after a pause, or ends the change at the time limit.
  void Retry(Step step);
  void Begin(Step step);
  void Finish(ApplyOutcome outcome, const std::string& reason);
  void ReadKey(const std::string& key,
               Step again,
               std::function<void(const StoreReply&)> handler);

  void ReadActive();
  void ReadProposal();
  void ReadBase();
  void WriteDocument();
  void OnDocumentWritten(const StoreReply& reply);
  void CheckDocument();
  void WriteProposal();
  void CheckProposal();
  void WaitStaged();
  void CheckStaged();
  void WriteActive();
  void OnActiveWritten(const StoreReply& reply);
  void ResolveActive();
  void WaitInForce();
  void CheckInForce();
  ZoneReport ReportOf(const std::string& zone) const;

  TimerService& timers_;
  Store& store_;
  std::vector<std::string> zones_;
  ActivatorOptions options_;
  ApplyRequest request_;
  Handler handler_;
  ApplyReport report_;
  VersionIdentity identity_;
  ActiveRecord active_;
  StoreRevision active_revision_;
  StoreRevision proposal_revision_;
  std::string base_text_;
  // Whether an activation was sent whose outcome is not known.
  bool activation_sent_ = false;
  TimePoint step_started_;
  std::uint32_t retries_ = 0;
  TimerId timer_;
  std::map<std::string, std::unique_ptr<ZoneWatch>> watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

// Random faults of every kind at once, on the fake clock: outages and slowness
// of the store, lost requests and replies, paused daemons and operators,
// replaced daemons, partitioned zones, lost messages, several operators. Each
// seed is one run; what must never happen is counted.

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/report.h"
#include "document/document_text.h"
#include "tests/standin/config_fleet.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1'000, "number of seeds");
DEFINE_bool(verbose, false, "print each seed that violates something");

namespace jujubecove::bench {
namespace {

constexpr Duration kSecond(1'000'000);
constexpr Duration kWindow(6'000'000);

struct Totals {
  double reverts = 0.0;
  double never_activated = 0.0;
  double false_reports = 0.0;
  double partial_past_window = 0.0;
  double no_report = 0.0;
  double in_force = 0.0;
  double nowhere = 0.0;
  double unknown = 0.0;
};

class FaultRun {
 public:
  FaultRun(std::uint64_t seed, Totals& totals)
      : random_(seed), totals_(totals), fleet_(seed * 7'919, 3, 4 + Draw(6)) {
    fleet_.model().AddListener([this](const std::string& key) {
      if (key != kActiveKey)
        return;
      std::optional<ActiveRecord> record =
          ParseActiveRecord(fleet_.model().Read(key).value);
      in_force_[record->active.version] = record->active.hash;
    });
  }

  void Run() {
    fleet_.Run(kSecond * 2);
    Start();
    for (int n = 0; n < 60; ++n) {
      fleet_.Run(Duration(static_cast<std::int64_t>(Draw(1'000'000))));
      Disturb();
      CheckDaemons();
    }
    Heal();
    CheckReports();
    bool converged = fleet_.RunUntil([this] { return AllAtNewest(); }, kWindow);
    totals_.partial_past_window += converged ? 0.0 : 1.0;
    CheckDaemons();
  }

 private:
  std::uint64_t Draw(std::uint64_t bound) { return random_() % bound; }

  void Start() {
    operators_.push_back(std::make_unique<ConfigFleet::Operator>(fleet_));
    std::string text =
        SampleDocument(2 + Draw(3), 100 + static_cast<int>(Draw(800)));
    hashes_.push_back(HashOfText(text).fast);
    operators_.back()->Apply(text);
  }

  void Disturb() {
    std::size_t slot = Draw(fleet_.size());
    switch (Draw(9)) {
      case 0:
      case 1:
        Start();
        break;
      case 2:
        DisturbStore();
        break;
      case 3:
        fleet_.model().SetFaults(StoreFaults{});
        break;
      case 4:
        CheckDaemon(slot);
        fleet_.Replace(slot);
        break;
      case 5:
        fleet_.node(slot).timers().Pause();
        break;
      case 6:
        fleet_.node(slot).timers().Resume();
        ToggleOperator();
        break;
      case 7:
        Isolate(Draw(3), Draw(2) == 0);
        break;
      default:
        fleet_.network().SetLoss(0.01 * static_cast<double>(Draw(30)));
    }
  }

  void DisturbStore() {
    StoreFaults faults;
    faults.outage = Draw(3) == 0;
    faults.latency = Duration(static_cast<std::int64_t>(Draw(400'000)));
    faults.jitter = Duration(static_cast<std::int64_t>(1 + Draw(300'000)));
    faults.lost_requests = 0.01 * static_cast<double>(Draw(20));
    faults.lost_replies = 0.01 * static_cast<double>(Draw(40));
    fleet_.model().SetFaults(faults);
  }

  void ToggleOperator() {
    if (operators_.empty())
      return;
    NodeTimers& timers = operators_[Draw(operators_.size())]->timers;
    timers.paused() ? timers.Resume() : timers.Pause();
  }

  void Isolate(std::size_t zone, bool isolated) {
    fleet_.SetIsolated(zone, isolated);
  }

  // Ends every fault and waits for the operators' reports.
  void Heal() {
    fleet_.model().SetFaults(StoreFaults{});
    fleet_.network().SetLoss(0.0);
    for (std::size_t zone = 0; zone < 3; ++zone)
      Isolate(zone, false);
    for (std::size_t slot = 0; slot < fleet_.size(); ++slot)
      fleet_.node(slot).timers().Resume();
    for (std::unique_ptr<ConfigFleet::Operator>& tool : operators_)
      tool->timers.Resume();
    fleet_.RunUntil(
        [this] {
          return std::all_of(
              operators_.begin(), operators_.end(),
              [](const auto& it) { return !it->reports.empty(); });
        },
        kSecond * 200);
  }

  bool AllAtNewest() {
    return in_force_.empty() || fleet_.AllAt(in_force_.rbegin()->first);
  }

  void CheckDaemon(std::size_t slot) {
    const std::vector<ConfigVersion>& versions =
        fleet_.node(slot).activations();
    bool rising =
        std::is_sorted(versions.begin(), versions.end()) &&
        std::adjacent_find(versions.begin(), versions.end()) == versions.end();
    totals_.reverts += rising ? 0.0 : 1.0;
    ConfigAgent& agent = fleet_.node(slot).agent();
    auto it = in_force_.find(agent.active_version());
    bool activated =
        agent.active_version() == ConfigVersion() ||
        (it != in_force_.end() && it->second == agent.active_hash());
    totals_.never_activated += activated ? 0.0 : 1.0;
  }

  void CheckDaemons() {
    for (std::size_t slot = 0; slot < fleet_.size(); ++slot)
      CheckDaemon(slot);
  }

  void CheckReports() {
    for (std::size_t n = 0; n < operators_.size(); ++n) {
      if (operators_[n]->reports.size() != 1) {
        totals_.no_report += 1.0;
        continue;
      }
      const ApplyReport& report = operators_[n]->reports[0];
      auto it = in_force_.find(report.version);
      bool activated = it != in_force_.end() && it->second == hashes_[n];
      switch (report.outcome) {
        case ApplyOutcome::kInForce:
          totals_.in_force += 1.0;
          totals_.false_reports += activated ? 0.0 : 1.0;
          break;
        case ApplyOutcome::kNowhere:
          totals_.nowhere += 1.0;
          totals_.false_reports += activated ? 1.0 : 0.0;
          break;
        case ApplyOutcome::kUnknown:
          totals_.unknown += 1.0;
      }
    }
  }

  RandomEngine random_;
  Totals& totals_;
  // Every version that the store ever held as active, with its hash. Outlives
  // the fleet, whose store tells of writes.
  std::map<ConfigVersion, std::uint64_t> in_force_;
  ConfigFleet fleet_;
  std::vector<std::unique_ptr<ConfigFleet::Operator>> operators_;
  std::vector<std::uint64_t> hashes_;
};

double Violations(const Totals& totals) {
  return totals.reverts + totals.never_activated + totals.false_reports +
         totals.partial_past_window + totals.no_report;
}

int Run() {
  Totals totals;
  for (std::uint64_t n = 0; n < FLAGS_seeds; ++n) {
    double before = Violations(totals);
    FaultRun(FLAGS_seed + n, totals).Run();
    if (FLAGS_verbose && Violations(totals) > before)
      std::cout << "violation with --seed=" << FLAGS_seed + n << " --seeds=1\n";
  }
  Report report("config-faults");
  report.Info("seeds", static_cast<double>(FLAGS_seeds));
  report.Info("reports_in_force", totals.in_force);
  report.Info("reports_nowhere", totals.nowhere);
  report.Info("reports_unknown", totals.unknown);
  report.AtMost("reverts", totals.reverts, 0.0);
  report.AtMost("versions_never_activated", totals.never_activated, 0.0);
  report.AtMost("false_reports", totals.false_reports, 0.0);
  report.AtMost("partial_past_window", totals.partial_past_window, 0.0);
  report.AtMost("missing_reports", totals.no_report, 0.0);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}

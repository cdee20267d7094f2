#include <gtest/gtest.h>

#include <algorithm>

#include "tests/unit/quota/simulated_fleet.h"

namespace jujubecove {
namespace {

using std::chrono::seconds;

const QuotaOptions kOptions{seconds(5), 0.1, 20.0};

struct Limit {
  double rate;
  double burst;
};

// Random disturbances of a fleet and callers that send several times what their
// workspaces may.
class FleetUnderTest {
 public:
  explicit FleetUnderTest(std::uint64_t seed) : fleet_(kOptions, seed) {
    for (const auto& [name, limit] : std::map<std::string, Limit>{
             {"large", {55, 20}}, {"middle", {10, 5}}, {"small", {0.3, 2}}})
      SetLimit(name, limit);
    for (int n = 0; n < 12; ++n)
      fleet_.Start(Name(n), n % kZones);
  }

  void Run(Duration time) {
    TimePoint end = fleet_.Now() + time;
    TimePoint next_fault = fleet_.Now();
    while (fleet_.Now() < end) {
      if (fleet_.Now() >= next_fault) {
        Disturb();
        next_fault = fleet_.Now() + fleet_.Random(50, 1500);
      }
      Send("large", 4);
      Send("middle", 1);
      if (Chance(0.1))
        Send("small", 1);
      fleet_.Advance(milliseconds(10));
    }
  }

  // The greatest excess over the bound in any window, in requests.
  double WorstExcess(const std::string& workspace) const {
    auto found = admitted_.find(workspace);
    if (found == admitted_.end())
      return -1e9;
    std::vector<TimePoint> times = found->second;
    std::sort(times.begin(), times.end());
    double worst = -1e9;
    std::size_t from = 0;
    for (std::size_t to = 0; to < times.size(); ++to) {
      while (times[to] - times[from] > kOptions.window)
        ++from;
      Limit limit =
          HighestSince(workspace, times[from] - seconds(1), times[to]);
      double bound = (limit.rate * 5.0 + limit.burst) * 1.1 + kOptions.slack;
      worst = std::max(worst, static_cast<double>(to - from + 1) - bound);
    }
    return worst;
  }
  std::size_t admitted(const std::string& workspace) {
    return admitted_[workspace].size();
  }

 private:
  static constexpr int kZones = 3;

  static std::string Name(int n) { return "vm" + std::to_string(n); }
  bool Chance(double share) {
    return std::bernoulli_distribution(share)(fleet_.random());
  }
  void SetLimit(const std::string& workspace, Limit limit) {
    limits_[workspace].emplace_back(fleet_.Now(), limit);
    fleet_.SetLimit(workspace, limit.rate, limit.burst);
  }
  Limit HighestSince(const std::string& workspace,
                     TimePoint from,
                     TimePoint to) const {
    Limit highest{0, 0};
    const auto& changes = limits_.at(workspace);
    for (std::size_t n = 0; n < changes.size(); ++n) {
      bool ended = n + 1 < changes.size() && changes[n + 1].first < from;
      if (ended || changes[n].first > to)
        continue;
      highest.rate = std::max(highest.rate, changes[n].second.rate);
      highest.burst = std::max(highest.burst, changes[n].second.burst);
    }
    return highest;
  }
  std::string AnyVm() {
    std::uniform_int_distribution<std::size_t> pick(0, fleet_.vms().size() - 1);
    return std::next(fleet_.vms().begin(),
                     static_cast<std::ptrdiff_t>(pick(fleet_.random())))
        ->first;
  }
  void Send(const std::string& workspace, int count) {
    for (int n = 0; n < count && !fleet_.vms().empty(); ++n) {
      fleet_.Request(workspace, AnyVm(),
                     [this, workspace](const QuotaDecision& it) {
                       if (it.admitted)
                         admitted_[workspace].push_back(fleet_.Now());
                     });
    }
  }
  void Restart(const std::string& name, bool graceful) {
    int zone = fleet_.Get(name).entry.zone.value().back() - '0';
    fleet_.Kill(name, graceful);
    fleet_.world().ScheduleAfter(fleet_.Random(50, 3000), [this, name, zone] {
      fleet_.Start(name, zone);
    });
  }
  void Disturb() {
    if (fleet_.vms().size() < 4)
      return;
    std::string name = AnyVm();
    SimulatedFleet::Vm& vm = fleet_.Get(name);
    switch (std::uniform_int_distribution<int>(0, 8)(fleet_.random())) {
      case 0:
      case 1:
        vm.clock.Freeze(fleet_.Random(200, 6000), Chance(0.5));
        break;
      case 2:
        vm.cut_from_store = !vm.cut_from_store;
        break;
      case 3:
        vm.cut_from_vms = !vm.cut_from_vms;
        break;
      case 4:
      case 5:
        Restart(name, Chance(0.5));
        break;
      case 6:
        fleet_.Start(Name(next_vm_), next_vm_ % kZones);
        ++next_vm_;
        break;
      case 7:
        fleet_.Kill(name, false);
        break;
      case 8:
        SetLimit("large", Chance(0.5) ? Limit{20, 5} : Limit{55, 20});
        break;
    }
  }

  SimulatedFleet fleet_;
  int next_vm_ = 12;
  std::map<std::string, std::vector<TimePoint>> admitted_;
  std::map<std::string, std::vector<std::pair<TimePoint, Limit>>> limits_;
};

// Guards against two VMs that grant the same part, tokens that are spent twice
// or too late, and limits that bind too late, while VMs freeze, are suspended,
// cut off, killed, restarted and added, and limits change.
TEST(QuotaFleetTest, NeverAdmitsMoreThanTheBoundInAnyWindow) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FleetUnderTest fleet(seed);
    fleet.Run(seconds(45));
    for (const char* it : {"large", "middle", "small"})
      EXPECT_LE(fleet.WorstExcess(it), 0.0) << it << ", seed " << seed;
    EXPECT_GT(fleet.admitted("large"), 100U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace jujubecove

// Measures the slopes from which docs/CAPACITY.md computes the cost of a node
// at the design size, and checks that the page still agrees with them.

#include <gflags/gflags.h>
#include <malloc.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

#include "bench/report.h"
#include "bench/scenario.h"
#include "kernel/fake_timer_service.h"
#include "routing/make_router.h"
#include "tests/standin/fake_fleet.h"
#include "tickets/ticket_options.h"
#include "tickets/ticket_table.h"

DEFINE_string(page, "docs/CAPACITY.md", "the page to check");
DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

// Largest accepted ratio between page and measurement. CPU time varies more
// than memory between runs on a shared machine.
constexpr double kMemoryTolerance = 1.25;
constexpr double kTimeTolerance = 2.0;

// Least-squares line through measured points.
struct LinearFit {
  double slope = 0.0;
  double intercept = 0.0;
  // Largest distance of a point from the line, relative to the point.
  double max_relative_error = 0.0;
};

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  double n = static_cast<double>(points.size());
  double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  LinearFit line;
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / n;
  for (const auto& [x, y] : points)
    line.max_relative_error =
        std::max(line.max_relative_error,
                 std::abs(line.intercept + line.slope * x - y) / y);
  return line;
}

double HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Heap bytes allocated by `make` and still in use while its result lives.
template <typename Make>
double HeapGrowth(Make make) {
  double before = HeapBytes();
  auto made = make();
  return HeapBytes() - before;
}

LinearFit RouterBytesPerSearcher() {
  std::vector<std::pair<double, double>> points;
  for (std::size_t shards : {110U, 220U, 440U}) {
    FakeTimerService timers;
    standin::FakeFleet fleet(timers, 1);
    standin::FleetService service;
    service.name = ServiceName("index");
    service.shards = shards;
    service.buckets = shards;
    fleet.AddService(service);
    points.emplace_back(static_cast<double>(shards * service.replicas),
                        HeapGrowth([&timers, &fleet] {
                          std::unique_ptr<Router> router =
                              MakeRouter(timers, 1);
                          fleet.UpdateRouter(*router);
                          return router;
                        }));
  }
  return FitLine(points);
}

// Memory of finished tickets with an answer of the typical size for a record.
LinearFit BytesPerUsedTicket() {
  constexpr std::size_t kAnswerBytes = 400;
  std::vector<std::pair<double, double>> points;
  for (std::size_t count : {5'000U, 10'000U, 20'000U}) {
    FakeTimerService timers;
    TicketOptions options;
    options.peer_address = "127.0.0.1:1";
    points.emplace_back(
        static_cast<double>(count), HeapGrowth([&timers, &options, count] {
          std::unique_ptr<TicketTable> table = MakeTicketTable(timers, options);
          for (std::size_t n = 0; n < count; ++n) {
            std::string ticket = table->Issue(1).value().front();
            (void)table->Begin(ticket, n, nullptr);
            table->Finish(ticket,
                          TicketOutcome{Execution::kRan,
                                        std::string(kAnswerBytes, 'x'), 200});
          }
          return table;
        }));
  }
  return FitLine(points);
}

struct QueryCost {
  LinearFit cpu_us;
  LinearFit resident_bytes;
};

// CPU time per query and resident memory of a daemon, by the number of
// searchers per query.
QueryCost MeasureQueryCost() {
  std::vector<std::pair<double, double>> cpu;
  std::vector<std::pair<double, double>> resident;
  for (unsigned searchers : {20U, 60U, 110U}) {
    ClusterOptions options;
    options.services = {"index:" + std::to_string(searchers) +
                        ":1:64:25:1000:3000:" + std::to_string(searchers)};
    options.document =
        IndexDocument(std::chrono::microseconds(3'000), searchers, 1, 64);
    options.seed = FLAGS_seed;
    Cluster cluster(options);
    LoadOptions load;
    load.kinds = {SearchLoad("urgent-search", 12'000.0 / searchers)};
    load.ports = cluster.caller_ports();
    load.duration = milliseconds(2'000);
    RunLoad(load);
    load.duration = milliseconds(4'000);
    std::chrono::microseconds before = cluster.daemon(0).CpuTime();
    std::size_t queries = RunLoad(load).size();
    std::chrono::microseconds used = cluster.daemon(0).CpuTime() - before;
    cpu.emplace_back(searchers, static_cast<double>(used.count()) /
                                    static_cast<double>(queries));
    resident.emplace_back(
        searchers, static_cast<double>(cluster.daemon(0).ResidentBytes()));
  }
  return QueryCost{FitLine(cpu), FitLine(resident)};
}

// Rows "| `name` | value | ..." of the page.
std::map<std::string, double> ReadPage() {
  std::map<std::string, double> values;
  std::ifstream file(FLAGS_page);
  for (std::string line; std::getline(file, line);) {
    std::size_t begin = line.find("| `");
    std::size_t end = line.find("` |");
    if (begin != 0 || end == std::string::npos)
      continue;
    std::istringstream value(line.substr(end + 3));
    double number = 0.0;
    if (value >> number)
      values[line.substr(3, end - 3)] = number;
  }
  return values;
}

class PageCheck {
 public:
  explicit PageCheck(Report& report) : report_(report), page_(ReadPage()) {}

  // Prints the measured value and the ratio between it and the page.
  void Check(const std::string& name, double measured, double tolerance) {
    report_.Info(name, measured);
    auto it = page_.find(name);
    double factor = tolerance * 2;
    if (it != page_.end() && it->second > 0 && measured > 0)
      factor = std::max(it->second / measured, measured / it->second);
    report_.AtMost(name + "_page_factor", factor, tolerance);
  }

 private:
  Report& report_;
  std::map<std::string, double> page_;
};

int Run() {
  constexpr double kSearchersPerNode = 330.0;
  constexpr double kNodes = 4'000.0;
  constexpr double kQueriesPerNode = 3.4e6 / kNodes;
  constexpr double kFanOut = 110.0;
  Report report("capacity");
  PageCheck check(report);

  LinearFit router = RouterBytesPerSearcher();
  LinearFit ticket = BytesPerUsedTicket();
  check.Check("router_bytes_per_searcher", router.slope, kMemoryTolerance);
  check.Check("ticket_bytes_per_used_ticket", ticket.slope, kMemoryTolerance);
  report.Info("router_fit_error", router.max_relative_error);
  report.Info("ticket_fit_error", ticket.max_relative_error);

  QueryCost cost = MeasureQueryCost();
  check.Check("cpu_us_per_upstream_request", cost.cpu_us.slope, kTimeTolerance);
  report.Info("cpu_us_per_query", cost.cpu_us.intercept);
  report.Info("cpu_fit_error", cost.cpu_us.max_relative_error);
  check.Check("resident_bytes_per_searcher", cost.resident_bytes.slope,
              kMemoryTolerance);
  report.Info("resident_fit_error", cost.resident_bytes.max_relative_error);

  check.Check("design_router_mb", router.slope * kSearchersPerNode / 1e6,
              kMemoryTolerance);
  check.Check("design_cores_for_upstream",
              cost.cpu_us.slope * kFanOut * kQueriesPerNode / 1e6,
              kTimeTolerance);
  check.Check("design_connections_mb",
              cost.resident_bytes.slope * kSearchersPerNode / 1e6,
              kMemoryTolerance);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}

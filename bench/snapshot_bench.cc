// Snapshot queries during index roll-outs and repartitioning, with stragglers,
// lost replicas and searchers that report wrong versions. Runs on a fake clock,
// so the result depends only on the seed.
#include <gflags/gflags.h>

#include <cstddef>

#include "bench/report.h"
#include "tests/standin/snapshot_simulation.h"

DEFINE_uint64(seed, 1, "Seed of the run.");
DEFINE_uint64(queries, 100'000, "Queries of the run.");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  jujubecove::standin::SnapshotSimulationOptions options;
  options.seed = FLAGS_seed;
  options.queries = FLAGS_queries;
  jujubecove::standin::SnapshotSimulationResult result =
      jujubecove::standin::SimulateSnapshots(options);
  jujubecove::bench::Report report("snapshot");
  double queries = static_cast<double>(options.queries);
  double with_common_version = static_cast<double>(result.with_common_version);
  report.AtLeast("answered", static_cast<double>(result.answered), queries);
  report.AtMost("mixed", static_cast<double>(result.mixed), 0);
  report.AtMost("false_coverage", static_cast<double>(result.false_coverage),
                0);
  report.AtLeast("whole_where_common_version",
                 static_cast<double>(result.with_common_version_whole) /
                     with_common_version,
                 0.999);
  report.Info("common_version_share", with_common_version / queries);
  report.Info("whole_share", static_cast<double>(result.whole) / queries);
  report.Info("partial_share", static_cast<double>(result.partial) / queries);
  report.Info("refused_share", static_cast<double>(result.refused) / queries);
  report.Info("attempts_per_query",
              static_cast<double>(result.attempts) / queries);
  return report.exit_code();
}

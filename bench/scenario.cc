#include "bench/scenario.h"

#include <sstream>

namespace jujubecove::bench {
namespace {

std::string KindSection(const std::string& name,
                        const std::string& urgency,
                        const std::string& extra_settings) {
  return "[kind " + name + "]\nservice = index\nurgency = " + urgency +
         "\ndeadline = 250\n" + extra_settings + "\n";
}

}  // namespace

std::string IndexService(std::chrono::microseconds service_time,
                         unsigned slots,
                         unsigned connections) {
  std::ostringstream out;
  out << "index:" << kShards << ':' << kReplicas << ':' << slots << ':'
      << connections << ":6000:" << service_time.count();
  return out.str();
}

std::string IndexDocument(std::chrono::microseconds service_time,
                          unsigned shards,
                          unsigned replicas,
                          unsigned slots,
                          unsigned connections) {
  std::ostringstream out;
  out << "[service index]\nshards = " << shards << "\nreplicas = " << replicas
      << "\nslots = " << slots << "\nconnections = " << connections
      << "\nconnect_cost = 6\nexpected_latency = "
      << (service_time.count() + 999) / 1000 << "\n\n";
  const std::string partial = "least_coverage = 0.5\npartial = true\n";
  out << KindSection("urgent-search", "critical", partial)
      << KindSection("bulk-search", "background", partial)
      << KindSection("snapshot-search", "critical", "snapshot = true\n")
      << KindSection("record", "critical",
                     "idempotent = false\nhedge = false\n"
                     "addressing = one_key\n");
  return out.str();
}

double MaxQueryRate(std::chrono::microseconds service_time,
                    unsigned replicas,
                    unsigned slots) {
  return replicas * slots * 1e6 / static_cast<double>(service_time.count());
}

LoadKind SearchLoad(const std::string& kind, double rate) {
  LoadKind load;
  load.kind = kind;
  load.rate = rate;
  return load;
}

bool IsComplete(const LoadSample& sample) {
  return sample.http_status == 200 && sample.covered_share == 1.0;
}

std::vector<LoadSample> DueBetween(const std::vector<LoadSample>& samples,
                                   std::chrono::milliseconds from,
                                   std::chrono::milliseconds to) {
  return Filter(samples, [from, to](const LoadSample& it) {
    return it.due >= from && it.due < to;
  });
}

}  // namespace jujubecove::bench

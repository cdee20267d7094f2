#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/standin/admin_server.h"
#include "tests/standin/searcher_fleet_server.h"

DEFINE_string(services,
              "weighbridge:10:3:2:25:6000:4000,buyers:15:3:2:25:6000:4000,"
              "receipts:4:2:4:110:1000:3000,dividends:2:2:4:110:1000:3000",
              "comma-separated services, each name:shards:replicas:slots:"
              "connections:connect_cost_us:service_time_us[:buckets"
              "[:spread_percent]]");
DEFINE_string(zones, "nyeri,karatina,othaya", "comma-separated zone names");
DEFINE_int32(first_port, 21000, "port of the first searcher");
DEFINE_int32(admin_port,
             20999,
             "port for POST /admin/faults (one fault row) and "
             "GET /admin/stats");
DEFINE_int32(threads, 2, "number of threads that run the searchers");
DEFINE_uint64(seed, 1, "seed of service times and faults");
DEFINE_string(vms_out, "", "file to write the VM list to, as JSON");
DEFINE_string(faults, "", "file with fault rows, one JSON object per line");

namespace jujubecove::standin {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

bool AddServices(SearcherFleetServer& fleet) {
  for (const std::string& text : Split(FLAGS_services)) {
    Result<FleetServiceSpec> spec = ParseFleetServiceSpec(text);
    if (!spec) {
      std::cerr << "--services: " << spec.error().detail << "\n";
      return false;
    }
    fleet.AddService(spec.value());
  }
  return true;
}

void ApplyFaultFile(SearcherFleetServer& fleet) {
  std::ifstream file(FLAGS_faults);
  for (std::string row; std::getline(file, row);) {
    fleet.ApplyFaults(row, [row](bool applied) {
      if (!applied)
        std::cerr << "--faults: malformed row " << row << "\n";
    });
  }
}

AdminServer::Handler MakeAdminHandler(SearcherFleetServer& fleet) {
  return [&fleet](const std::string& method, const std::string& path,
                  const std::string& body,
                  const AdminServer::Respond& respond) {
    if (method == "GET" && path == "/admin/stats") {
      fleet.Stats([respond](std::string stats) { respond(200, stats + "\n"); });
      return;
    }
    if (method == "POST" && path == "/admin/faults") {
      fleet.ApplyFaults(
          body, [respond](bool applied) { respond(applied ? 200 : 400, ""); });
      return;
    }
    respond(404, "");
  };
}

int Run() {
  SearcherFleetServer fleet(static_cast<std::size_t>(FLAGS_threads),
                            static_cast<std::uint16_t>(FLAGS_first_port),
                            Split(FLAGS_zones), FLAGS_seed);
  if (!AddServices(fleet))
    return 2;
  if (!FLAGS_vms_out.empty())
    std::ofstream(FLAGS_vms_out) << fleet.VmListJson() << "\n";
  ApplyFaultFile(fleet);
  AdminServer admin(fleet.first_context(),
                    static_cast<std::uint16_t>(FLAGS_admin_port),
                    MakeAdminHandler(fleet));
  boost::asio::io_context signals;
  boost::asio::signal_set set(signals, SIGTERM, SIGINT);
  set.async_wait([](const boost::system::error_code&, int) {});
  fleet.Start();
  std::cout << fleet.size() << " searchers ready" << std::endl;
  signals.run();
  fleet.Stop();
  return 0;
}

}  // namespace
}  // namespace jujubecove::standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage("searcher stand-ins on the loopback address");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::standin::Run();
}

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "platform/wire_names.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

DEFINE_int32(port,
             7400,
             "TCP port of the store; the searchers use the ports after it");
DEFINE_int32(shards, 10, "number of services behind the scatter route");
DEFINE_int32(replicas, 3, "number of searchers of each scatter service");

namespace jujubecove {
namespace {

namespace json = boost::json;

// A scatter route ("/search/") over all shards, and a route whose requests run
// at most once ("/pay/").
std::string Configuration(int shards) {
  json::array gather;
  json::array services;
  for (int n = 0; n < shards; ++n) {
    std::string name = "weighbridge-" + std::to_string(n);
    gather.push_back(json::string(name));
    services.push_back(json::object{{"Name", name}, {"MaxConnections", 26}});
  }
  services.push_back(
      json::object{{"Name", "receipts"}, {"MaxConnections", 110}});
  json::object search{{"Name", "search"},
                      {"Host", "demo.example"},
                      {"Prefix", "/search/"},
                      {"Kind", "idempotent"},
                      {"TimeoutMs", 1500},
                      {"TargetLatencyMs", 100},
                      {"Priority", 1},
                      {"MaxAttempts", 2},
                      {"TopK", 5},
                      {"MinShardShare", 0.89},
                      {"Gather", gather}};
  json::object pay{{"Name", "pay"},        {"Host", "demo.example"},
                   {"Prefix", "/pay/"},    {"Kind", "non_idempotent"},
                   {"TimeoutMs", 6000},    {"TargetLatencyMs", 400},
                   {"Priority", 2},        {"MaxAttempts", 2},
                   {"Service", "receipts"}};
  return json::serialize(
      json::object{{"Version", 1},
                   {"Routes", json::array{search, pay}},
                   {"Services", services},
                   {"Limits", json::object{{"MaxHeaderBytes", 16384},
                                           {"MaxBodyBytes", 262144},
                                           {"HeaderTimeoutMs", 5000},
                                           {"IdleTimeoutMs", 30000}}}});
}

int RunStandIns() {
  boost::asio::io_context context;
  AsioTimerService timers(context);
  KvServer server(context, static_cast<std::uint16_t>(FLAGS_port));
  server.store().Set(platform::kConfigKey, Configuration(FLAGS_shards));
  std::vector<std::unique_ptr<PlatformSearcher>> searchers;
  std::uint16_t port = static_cast<std::uint16_t>(FLAGS_port);
  auto add = [&](const std::string& service, int count) {
    for (int n = 0; n < count; ++n) {
      searchers.push_back(std::make_unique<PlatformSearcher>(
          context, timers, service, service + "." + std::to_string(n), ++port));
      server.store().Set(searchers.back()->Key(),
                         searchers.back()->Registration(SearcherState::kReady));
    }
  };
  for (int n = 0; n < FLAGS_shards; ++n)
    add("weighbridge-" + std::to_string(n), FLAGS_replicas);
  add("receipts", 2);
  std::cout << "listening on 127.0.0.1:" << FLAGS_port << std::endl;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
      [&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "stand-in of the platform's store and of searchers that use its "
      "protocol");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return jujubecove::RunStandIns();
  } catch (const std::exception& error) {
    std::cerr << "standin_world: " << error.what() << "\n";
    return 1;
  }
}

#include "tests/soak/soak_config.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jujubecove::soak {
namespace {

namespace json = boost::json;

json::object MakeRoute(const std::string& name, const char* kind) {
  return json::object{
      {"Name", name},  {"Host", kHost},     {"Prefix", "/" + name + "/"},
      {"Kind", kind},  {"TimeoutMs", 1500}, {"TargetLatencyMs", 200},
      {"Priority", 1}, {"MaxAttempts", 2}};
}

json::object MakeSingleRoute(const std::string& name, const char* kind) {
  json::object route = MakeRoute(name, kind);
  route["Service"] = kLookupService;
  return route;
}

}  // namespace

std::string MakeConfiguration(int version) {
  json::array shards;
  json::array services{
      json::object{{"Name", kLookupService}, {"MaxConnections", 40}}};
  for (int n = 0; n < kShards; ++n) {
    shards.push_back(json::string(ShardName(n)));
    services.push_back(
        json::object{{"Name", ShardName(n)}, {"MaxConnections", 40}});
  }
  json::object search = MakeRoute("search", "idempotent");
  search["TopK"] = kTopRecords;
  search["MinShardShare"] = kMinShardShare;
  search["Gather"] = shards;
  json::array routes{search, MakeSingleRoute("lookup", "idempotent"),
                     MakeSingleRoute("pay", "non_idempotent")};
  for (int n = 1; n <= version; ++n)
    routes.push_back(MakeSingleRoute("v" + std::to_string(n), "idempotent"));
  return json::serialize(
      json::object{{"Version", version},
                   {"Routes", routes},
                   {"Services", services},
                   {"Limits", json::object{{"MaxHeaderBytes", 16384},
                                           {"MaxBodyBytes", 65536},
                                           {"HeaderTimeoutMs", 5000},
                                           {"IdleTimeoutMs", 10000}}}});
}

}  // namespace jujubecove::soak

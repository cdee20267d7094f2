#include "platform/registration_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "platform/json_codec.h"
#include "platform/wire_names.h"

namespace jujubecove::platform {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

Error BadRequest(const std::string& what) {
  return Error{ErrorKind::kBadRequest, what};
}

const json::array* ArrayField(const json::object& object,
                              std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? &value->get_array() : nullptr;
}

std::optional<ScatterSpec> DecodeScatter(const json::object& object) {
  const json::array* shards = ArrayField(object, "Gather");
  if (shards == nullptr)
    return std::nullopt;
  ScatterSpec spec;
  for (const json::value& it : *shards) {
    if (it.is_string())
      spec.shards.emplace_back(std::string(it.get_string()));
  }
  spec.top_records =
      static_cast<std::size_t>(IntegerField(object, "TopK").value_or(0));
  spec.min_shard_share = NumberField(object, "MinShardShare").value_or(1.0);
  return spec;
}

std::vector<WeightedService> DecodeSplit(const json::object& object) {
  std::vector<WeightedService> split;
  if (std::optional<std::string> service = StringField(object, "Service"))
    split.push_back({ServiceName(*service), 1.0});
  const json::array* parts = ArrayField(object, "TrafficSplit");
  if (parts == nullptr)
    return split;
  split.clear();
  for (const json::value& it : *parts) {
    if (!it.is_object())
      continue;
    std::optional<std::string> service =
        StringField(it.get_object(), "Service");
    double weight = NumberField(it.get_object(), "Weight").value_or(0.0);
    if (service && weight > 0.0)
      split.push_back({ServiceName(*service), weight});
  }
  return split;
}

std::optional<Route> DecodeRoute(const json::object& object) {
  std::optional<std::string> host = StringField(object, "Host");
  std::optional<std::string> prefix = StringField(object, "Prefix");
  if (!host || !prefix)
    return std::nullopt;
  Route route;
  route.name = StringField(object, "Name").value_or(*host + *prefix);
  route.host = *host;
  route.prefix = *prefix;
  route.scatter = DecodeScatter(object);
  // A request runs at most once unless its route scatters or is declared
  // idempotent.
  route.idempotent = route.scatter.has_value() ||
                     StringField(object, "Kind").value_or("") == "idempotent";
  constexpr std::int64_t kDefaultTimeoutMs = 10000;
  std::int64_t timeout =
      IntegerField(object, "TimeoutMs").value_or(kDefaultTimeoutMs);
  route.timeout = milliseconds(timeout);
  route.target_latency =
      milliseconds(IntegerField(object, "TargetLatencyMs").value_or(timeout));
  route.urgency =
      static_cast<int>(IntegerField(object, "Priority").value_or(0));
  route.max_attempts =
      static_cast<int>(IntegerField(object, "MaxAttempts").value_or(1));
  route.split = DecodeSplit(object);
  if (!route.scatter && route.split.empty())
    return std::nullopt;
  return route;
}

IngressLimits DecodeLimits(const json::object& object) {
  IngressLimits limits;
  if (std::optional<std::int64_t> n = IntegerField(object, "MaxHeaderBytes"))
    limits.max_header_bytes = static_cast<std::size_t>(*n);
  if (std::optional<std::int64_t> n = IntegerField(object, "MaxBodyBytes"))
    limits.max_body_bytes = static_cast<std::size_t>(*n);
  if (std::optional<std::int64_t> n = IntegerField(object, "HeaderTimeoutMs"))
    limits.header_timeout = milliseconds(*n);
  if (std::optional<std::int64_t> n = IntegerField(object, "IdleTimeoutMs"))
    limits.idle_timeout = milliseconds(*n);
  return limits;
}

}  // namespace

PlatformRegistrationCodec::PlatformRegistrationCodec()
    : config_key_(kConfigKey),
      searcher_prefix_(kSearcherPrefix),
      daemon_prefix_(kDaemonPrefix) {}

Result<ServingConfig> PlatformRegistrationCodec::DecodeConfig(
    const std::string& value) const {
  std::optional<json::object> object = ParseObject(value);
  if (!object)
    return BadRequest("the configuration is not a JSON object");
  std::optional<std::int64_t> version = IntegerField(*object, "Version");
  const json::array* routes = ArrayField(*object, "Routes");
  if (!version || routes == nullptr)
    return BadRequest("the configuration has no version or no routes");
  ServingConfig config;
  config.version = ConfigVersion(static_cast<std::uint64_t>(*version));
  for (const json::value& it : *routes) {
    std::optional<Route> route =
        it.is_object() ? DecodeRoute(it.get_object()) : std::nullopt;
    if (!route)
      return BadRequest("the configuration has a malformed route");
    config.routes.push_back(std::move(*route));
  }
  if (const json::array* services = ArrayField(*object, "Services")) {
    for (const json::value& it : *services) {
      if (!it.is_object())
        continue;
      const json::object& fields = it.get_object();
      config.services.push_back(ServiceConfig{
          ServiceName(StringField(fields, "Name").value_or("")),
          static_cast<int>(
              IntegerField(fields, "MaxConnections").value_or(1))});
    }
  }
  const json::value* limits = object->if_contains("Limits");
  if (limits != nullptr && limits->is_object())
    config.limits = DecodeLimits(limits->get_object());
  return config;
}

Result<SearcherEntry> PlatformRegistrationCodec::DecodeSearcher(
    const InstanceId& id,
    const std::string& value) const {
  std::optional<json::object> object = ParseObject(value);
  if (!object)
    return BadRequest("the registration is not a JSON object");
  std::optional<std::string> service = StringField(*object, "Service");
  std::optional<std::string> address = StringField(*object, "Address");
  std::optional<std::string> zone = StringField(*object, "Zone");
  std::optional<std::string> state = StringField(*object, "State");
  std::optional<std::int64_t> slots = IntegerField(*object, "Slots");
  std::optional<std::int64_t> heartbeat = IntegerField(*object, "Sequence");
  if (!service || !address || !zone || !state || !slots || !heartbeat)
    return BadRequest("the registration lacks a field");
  std::optional<SocketAddress> socket = SocketAddress::Parse(*address);
  if (!socket || *slots < 1 || (*state != "ready" && *state != "draining"))
    return BadRequest("the registration has an invalid field");
  SearcherEntry entry;
  entry.id = id;
  entry.service = ServiceName(*service);
  entry.address = *socket;
  entry.zone = ZoneName(*zone);
  entry.slots = static_cast<int>(*slots);
  entry.state =
      *state == "ready" ? SearcherState::kReady : SearcherState::kDraining;
  entry.warmup_left =
      milliseconds(IntegerField(*object, "WarmupLeftMs").value_or(0));
  entry.started_ms = IntegerField(*object, "born").value_or(0);
  entry.heartbeat = *heartbeat;
  return entry;
}

std::string PlatformRegistrationCodec::EncodeDaemon(
    const VmId& vm,
    const ZoneName& zone) const {
  return json::serialize(
      json::object{{"NodeName", vm.value()}, {"Zone", zone.value()}});
}

}  // namespace jujubecove::platform

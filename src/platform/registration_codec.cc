#include "platform/registration_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "platform/json_codec.h"
#include "platform/wire_names.h"
#include "platform/workspace_codec.h"

namespace jujubecove::platform {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

Error BadRequest(const std::string& what) {
  return Error{ErrorKind::kBadRequest, what};
}

// The ranges exclude values that no writer of the protocol sends and that the
// code could not compute with.
constexpr std::size_t kMaxNameBytes = 512;
constexpr std::int64_t kMaxDurationMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxBytes = 1LL << 30U;
// Larger integers are not exact in all encoders of JSON.
constexpr std::int64_t kMaxExactInteger = 1LL << 53U;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxRate = 1e9;
constexpr double kMaxCpuShare = 1e4;

const json::array* ArrayField(const json::object& object,
                              std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? &value->get_array() : nullptr;
}

bool BoolField(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

Duration DurationField(FieldReader& reader,
                       std::string_view name,
                       Duration fallback) {
  return milliseconds(reader.OptionalInteger(name, {1, kMaxDurationMs},
                                             fallback / milliseconds(1)));
}

std::size_t SizeField(FieldReader& reader,
                      std::string_view name,
                      std::size_t fallback) {
  return static_cast<std::size_t>(reader.OptionalInteger(
      name, {0, kMaxBytes}, static_cast<std::int64_t>(fallback)));
}

int CountField(FieldReader& reader, std::string_view name, int fallback) {
  return static_cast<int>(
      reader.OptionalInteger(name, {0, kMaxCount}, fallback));
}

std::optional<ScatterSpec> DecodeScatter(const json::object& object,
                                         FieldReader& reader) {
  const json::array* shards = ArrayField(object, "Gather");
  if (shards == nullptr)
    return std::nullopt;
  ScatterSpec spec;
  for (const json::value& it : *shards) {
    if (it.is_string())
      spec.shards.emplace_back(std::string(it.get_string()));
    else
      reader.Fail("Gather");
  }
  spec.top_records = static_cast<std::size_t>(
      reader.OptionalInteger("TopK", {0, kMaxCount}, 0));
  spec.min_shard_share =
      reader.OptionalNumber("MinShardShare", {0.0, 1.0}, 1.0);
  return spec;
}

std::vector<WeightedService> DecodeSplit(const json::object& object,
                                         FieldReader& reader) {
  const json::array* parts = ArrayField(object, "TrafficSplit");
  std::vector<WeightedService> split;
  if (parts == nullptr) {
    std::string service = reader.OptionalText("Service", kMaxNameBytes, "");
    if (!service.empty())
      split.push_back({ServiceName(service), 1.0});
    return split;
  }
  for (const json::value& it : *parts) {
    if (!it.is_object()) {
      reader.Fail("TrafficSplit");
      continue;
    }
    FieldReader part(it.get_object());
    std::string service = part.Text("Service", kMaxNameBytes);
    double weight = part.OptionalNumber("Weight", {0.0, kMaxWeight}, 0.0);
    if (!part.error().empty())
      reader.Fail("TrafficSplit");
    else if (weight > 0.0)
      split.push_back({ServiceName(service), weight});
  }
  return split;
}

std::vector<std::string> DecodeTexts(const json::object& object,
                                     std::string_view name,
                                     FieldReader& reader) {
  std::vector<std::string> texts;
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null())
    return texts;
  if (!value->is_array()) {
    reader.Fail(name);
    return texts;
  }
  for (const json::value& it : value->get_array()) {
    if (!it.is_string() || it.get_string().size() > kMaxNameBytes) {
      reader.Fail(name);
      continue;
    }
    texts.emplace_back(it.get_string());
  }
  return texts;
}

std::vector<RegionName> DecodeRegions(const json::object& object,
                                      FieldReader& reader) {
  std::vector<RegionName> regions;
  for (std::string& it : DecodeTexts(object, "AllowedRegions", reader))
    regions.emplace_back(std::move(it));
  return regions;
}

Route DecodeRoute(const json::object& object, FieldReader& reader) {
  Route route;
  route.host = reader.Text("Host", kMaxNameBytes);
  route.prefix = reader.Text("Prefix", kMaxNameBytes);
  route.name =
      reader.OptionalText("Name", kMaxNameBytes, route.host + route.prefix);
  route.scatter = DecodeScatter(object, reader);
  // A request runs at most once unless its route scatters or is declared
  // idempotent.
  route.idempotent =
      route.scatter.has_value() ||
      reader.OptionalText("Kind", kMaxNameBytes, "") == "idempotent";
  constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
  route.timeout = DurationField(reader, "TimeoutMs", kDefaultTimeout);
  route.target_latency =
      DurationField(reader, "TargetLatencyMs", route.timeout);
  route.urgency = CountField(reader, "Priority", 0);
  route.max_attempts = CountField(reader, "MaxAttempts", 1);
  route.split = DecodeSplit(object, reader);
  route.anonymous = BoolField(object, "Anonymous");
  route.allowed_regions = DecodeRegions(object, reader);
  if (!route.scatter && route.split.empty())
    reader.Fail("Service");
  return route;
}

ServiceConfig DecodeService(FieldReader& reader) {
  ServiceConfig service;
  service.name = ServiceName(reader.OptionalText("Name", kMaxNameBytes, ""));
  service.max_connections = CountField(reader, "MaxConnections", 1);
  service.warmup_rate =
      reader.OptionalNumber("WarmupPerS", {0.0, kMaxRate}, 0.0);
  return service;
}

IngressLimits DecodeLimits(FieldReader& reader) {
  IngressLimits limits;
  limits.max_header_bytes =
      SizeField(reader, "MaxHeaderBytes", limits.max_header_bytes);
  limits.max_body_bytes =
      SizeField(reader, "MaxBodyBytes", limits.max_body_bytes);
  limits.header_timeout =
      DurationField(reader, "HeaderTimeoutMs", limits.header_timeout);
  limits.idle_timeout =
      DurationField(reader, "IdleTimeoutMs", limits.idle_timeout);
  return limits;
}

// Zero if the text is not a decimal number of 64 bits.
std::uint64_t ParseIncarnation(const std::string& text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  return error == std::errc{} && end == last ? value : 0;
}

std::optional<SocketAddress> OptionalAddress(FieldReader& reader,
                                             std::string_view name) {
  std::string text = reader.OptionalText(name, kMaxNameBytes, "");
  if (text.empty())
    return std::nullopt;
  std::optional<SocketAddress> address = SocketAddress::Parse(text);
  if (!address || address->port == 0) {
    reader.Fail(name);
    return std::nullopt;
  }
  return address;
}

}  // namespace

PlatformRegistrationCodec::PlatformRegistrationCodec()
    : config_key_(kConfigKey),
      searcher_prefix_(kSearcherPrefix),
      daemon_prefix_(kDaemonPrefix),
      evacuation_prefix_(kEvacuationPrefix) {}

Result<ServingConfig> PlatformRegistrationCodec::DecodeConfig(
    const std::string& value) const {
  std::optional<json::object> object = ParseObject(value);
  if (!object)
    return BadRequest("the configuration is not a JSON object");
  FieldReader reader(*object);
  ServingConfig config;
  config.version = ConfigVersion(static_cast<std::uint64_t>(
      reader.Integer("Version", {0, kMaxExactInteger})));
  const json::array* routes = ArrayField(*object, "Routes");
  if (routes == nullptr)
    reader.Fail("Routes");
  if (!reader.error().empty())
    return BadRequest(reader.error());
  for (const json::value& it : *routes) {
    if (!it.is_object())
      return BadRequest("a route is not a JSON object");
    FieldReader fields(it.get_object());
    config.routes.push_back(DecodeRoute(it.get_object(), fields));
    if (!fields.error().empty())
      return BadRequest("a route is malformed: " + fields.error());
  }
  if (const json::array* services = ArrayField(*object, "Services")) {
    for (const json::value& it : *services) {
      if (!it.is_object())
        continue;
      FieldReader fields(it.get_object());
      config.services.push_back(DecodeService(fields));
      if (!fields.error().empty())
        return BadRequest("a service is malformed: " + fields.error());
    }
  }
  const json::value* workspaces = object->if_contains("Tenants");
  config.requires_api_key = workspaces != nullptr && !workspaces->is_null();
  if (config.requires_api_key && !workspaces->is_array())
    return BadRequest("the list of workspaces is malformed");
  if (config.requires_api_key)
    DecodeWorkspaces(workspaces->get_array(), config);
  const json::value* limits = object->if_contains("Limits");
  if (limits != nullptr && limits->is_object()) {
    FieldReader fields(limits->get_object());
    config.limits = DecodeLimits(fields);
    if (!fields.error().empty())
      return BadRequest("the limits are malformed: " + fields.error());
  }
  return config;
}

Result<SearcherEntry> PlatformRegistrationCodec::DecodeSearcher(
    const InstanceId& id,
    const std::string& value) const {
  std::optional<json::object> object = ParseObject(value);
  if (!object)
    return BadRequest("the registration is not a JSON object");
  // The id is sent to the searcher in a header field.
  if (!IsToken(id.value()))
    return BadRequest("the id of the registration has invalid characters");
  FieldReader reader(*object);
  SearcherEntry entry;
  entry.id = id;
  entry.service = ServiceName(reader.Text("Service", kMaxNameBytes));
  std::optional<SocketAddress> address =
      SocketAddress::Parse(reader.Text("Address", kMaxNameBytes));
  if (!address || address->port == 0)
    reader.Fail("Address");
  else
    entry.address = *address;
  entry.zone = ZoneName(reader.Text("Zone", kMaxNameBytes));
  entry.slots = static_cast<int>(reader.Integer("Slots", {1, kMaxCount}));
  std::string state = reader.Text("State", kMaxNameBytes);
  if (state != "ready" && state != "draining")
    reader.Fail("State");
  entry.state =
      state == "ready" ? SearcherState::kReady : SearcherState::kDraining;
  entry.warmup_left = milliseconds(
      reader.OptionalInteger("WarmupLeftMs", {0, kMaxDurationMs}, 0));
  entry.started_ms = reader.OptionalInteger("born", {0, kMaxExactInteger}, 0);
  entry.heartbeat = reader.Integer("Sequence", {0, kMaxExactInteger});
  if (!reader.error().empty())
    return BadRequest(reader.error());
  return entry;
}

std::string PlatformRegistrationCodec::EncodeDaemon(
    const DaemonEntry& entry) const {
  json::object object{{"NodeName", entry.vm.value()},
                      {"Zone", entry.zone.value()}};
  if (entry.incarnation.value() != 0)
    object["Incarnation"] = std::to_string(entry.incarnation.value());
  if (entry.peer_address)
    object["PeerAddress"] = entry.peer_address->ToString();
  if (entry.query_address)
    object["QueryAddress"] = entry.query_address->ToString();
  if (entry.cpu_share > 0.0)
    object["CpuShare"] = entry.cpu_share;
  return json::serialize(object);
}

Result<DaemonEntry> PlatformRegistrationCodec::DecodeDaemon(
    const VmId& vm,
    const std::string& value) const {
  std::optional<json::object> object = ParseObject(value);
  if (!object)
    return BadRequest("the registration is not a JSON object");
  FieldReader reader(*object);
  DaemonEntry entry;
  entry.vm = vm;
  entry.zone = ZoneName(reader.Text("Zone", kMaxNameBytes));
  entry.incarnation = IncarnationId(
      ParseIncarnation(reader.OptionalText("Incarnation", 20, "")));
  entry.peer_address = OptionalAddress(reader, "PeerAddress");
  entry.query_address = OptionalAddress(reader, "QueryAddress");
  entry.cpu_share = reader.OptionalNumber("CpuShare", {0.0, kMaxCpuShare}, 0.0);
  if (!reader.error().empty())
    return BadRequest(reader.error());
  return entry;
}

}  // namespace jujubecove::platform

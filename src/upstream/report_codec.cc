#include "upstream/report_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace jujubecove {
namespace {

namespace json = boost::json;

// Limit the memory that one report can take. The largest service of the design
// page has 110 shards and a handful of map and index versions.
constexpr std::size_t kMaxHoldings = 64;
constexpr std::size_t kMaxListEntries = 4096;

// Reads the members of one object. A missing or malformed member reads as a
// default value, and error() names the first one.
class MemberReader {
 public:
  explicit MemberReader(const json::value& value) : object_(value.if_object()) {
    if (object_ == nullptr)
      error_ = "an object is expected";
  }

  std::uint64_t Unsigned(std::string_view name,
                         std::uint64_t max = UINT64_MAX) {
    const json::value* member = Find(name);
    std::uint64_t number = 0;
    if (member == nullptr || !AsUnsigned(*member, max, number))
      Fail(name);
    return number;
  }

  bool Bool(std::string_view name) {
    const json::value* member = Find(name);
    if (member != nullptr && member->is_bool())
      return member->get_bool();
    Fail(name);
    return false;
  }

  std::string String(std::string_view name) {
    const json::value* member = Find(name);
    if (member != nullptr && member->is_string())
      return std::string(member->get_string());
    Fail(name);
    return {};
  }

  const json::array& Array(std::string_view name, std::size_t max) {
    static const json::array kEmpty;
    const json::value* member = Find(name);
    if (member != nullptr && member->is_array() &&
        member->get_array().size() <= max)
      return member->get_array();
    Fail(name);
    return kEmpty;
  }

  void Fail(std::string_view name) {
    if (error_.empty())
      error_ = "missing or malformed member " + std::string(name);
  }

  static bool AsUnsigned(const json::value& value,
                         std::uint64_t max,
                         std::uint64_t& number) {
    if (value.is_uint64())
      number = value.get_uint64();
    else if (value.is_int64() && value.get_int64() >= 0)
      number = static_cast<std::uint64_t>(value.get_int64());
    else
      return false;
    return number <= max;
  }

  const std::string& error() const { return error_; }

 private:
  const json::value* Find(std::string_view name) const {
    return object_ == nullptr ? nullptr : object_->if_contains(name);
  }

  const json::object* object_;
  std::string error_;
};

Error Invalid(std::string_view what, const std::string& detail) {
  return Error{ErrorKind::kBadRequest, std::string(what) + ": " + detail};
}

std::optional<json::value> Parse(std::string_view body) {
  boost::system::error_code ec;
  json::value value = json::parse(body, ec);
  if (ec)
    return std::nullopt;
  return value;
}

SearcherReport::Holding ReadHolding(const json::value& value,
                                    MemberReader& parent) {
  MemberReader reader(value);
  SearcherReport::Holding holding;
  holding.map_version = ShardMapVersion(reader.Unsigned("map"));
  for (const json::value& shard : reader.Array("shards", kMaxListEntries)) {
    if (!shard.is_string()) {
      reader.Fail("shards");
      break;
    }
    holding.shards.emplace_back(std::string(shard.get_string()));
  }
  for (const json::value& version :
       reader.Array("index_versions", kMaxListEntries)) {
    std::uint64_t number = 0;
    if (!MemberReader::AsUnsigned(version, UINT64_MAX, number)) {
      reader.Fail("index_versions");
      break;
    }
    holding.index_versions.emplace_back(number);
  }
  if (!reader.error().empty())
    parent.Fail("holdings");
  return holding;
}

}  // namespace

std::string EncodeReport(const VersionedReport& report) {
  json::array holdings;
  for (const SearcherReport::Holding& holding : report.report.holdings) {
    json::array shards;
    for (const ShardId& shard : holding.shards)
      shards.emplace_back(shard.value());
    json::array versions;
    for (const IndexVersion& version : holding.index_versions)
      versions.emplace_back(version.value());
    holdings.emplace_back(
        json::object{{"map", holding.map_version.value()},
                     {"shards", std::move(shards)},
                     {"index_versions", std::move(versions)}});
  }
  return json::serialize(
      json::object{{"service", report.report.service.value()},
                   {"holdings", std::move(holdings)},
                   {"slots", report.report.slots},
                   {"in_flight", report.report.in_flight},
                   {"draining", report.report.draining},
                   {"healthy", report.report.healthy},
                   {"generation", report.generation}});
}

Result<VersionedReport> DecodeReport(const SearcherId& searcher,
                                     std::string_view body) {
  constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
  std::optional<json::value> value = Parse(body);
  if (!value)
    return Invalid("report", "not JSON");
  MemberReader reader(*value);
  VersionedReport result;
  SearcherReport& report = result.report;
  report.searcher = searcher;
  report.service = ServiceName(reader.String("service"));
  report.slots =
      static_cast<std::uint32_t>(reader.Unsigned("slots", kMaxCount));
  report.in_flight =
      static_cast<std::uint32_t>(reader.Unsigned("in_flight", kMaxCount));
  report.draining = reader.Bool("draining");
  report.healthy = reader.Bool("healthy");
  result.generation = reader.Unsigned("generation");
  for (const json::value& holding : reader.Array("holdings", kMaxHoldings))
    report.holdings.push_back(ReadHolding(holding, reader));
  if (!reader.error().empty())
    return Invalid("report", reader.error());
  return result;
}

std::string EncodeShardMap(const ShardMap& map) {
  json::array shards;
  for (const ShardEntry& entry : map.shards())
    shards.emplace_back(json::object{{"id", entry.id.value()},
                                     {"from", entry.range.from},
                                     {"to", entry.range.to}});
  return json::serialize(json::object{{"version", map.version().value()},
                                      {"shards", std::move(shards)}});
}

Result<ShardMap> DecodeShardMap(std::string_view body) {
  std::optional<json::value> value = Parse(body);
  if (!value)
    return Invalid("shard map", "not JSON");
  MemberReader reader(*value);
  ShardMapVersion version(reader.Unsigned("version"));
  std::vector<ShardEntry> shards;
  for (const json::value& item : reader.Array("shards", kMaxListEntries)) {
    MemberReader shard(item);
    ShardEntry entry;
    entry.id = ShardId(shard.String("id"));
    entry.range = KeyRange{shard.String("from"), shard.String("to")};
    if (!shard.error().empty())
      reader.Fail("shards");
    shards.push_back(std::move(entry));
  }
  if (!reader.error().empty())
    return Invalid("shard map", reader.error());
  return ShardMap::Create(version, std::move(shards));
}

}  // namespace jujubecove

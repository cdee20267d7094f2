#include "config/config_records.h"

#include <boost/json.hpp>

namespace jujubecove {
namespace {

namespace json = boost::json;

json::object ToJson(const VersionIdentity& identity) {
  json::object object;
  object["version"] = identity.version.value();
  object["hash"] = identity.hash;
  object["sha256"] = identity.sha256;
  return object;
}

std::uint64_t NumberAt(const json::object& object, std::string_view name) {
  return object.at(name).to_number<std::uint64_t>();
}

std::string StringAt(const json::object& object, std::string_view name) {
  const json::string& text = object.at(name).as_string();
  return std::string(text.data(), text.size());
}

VersionIdentity IdentityOf(const json::object& object) {
  return VersionIdentity{ConfigVersion(NumberAt(object, "version")),
                         NumberAt(object, "hash"), StringAt(object, "sha256")};
}

// Runs a reader that throws on a missing or mistyped field.
template <typename Record, typename Reader>
std::optional<Record> ParseWith(std::string_view text, Reader reader) {
  try {
    return reader(json::parse(json::string_view(text)).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string DocumentKey(ConfigVersion version) {
  return "config/doc/" + std::to_string(version.value());
}

std::string ZoneKey(const std::string& zone) {
  return "config/zone/" + zone;
}

std::string FormatRecord(const ActiveRecord& record) {
  json::object object = ToJson(record.active);
  json::array history;
  for (const PastVersion& past : record.history)
    history.push_back(json::array{past.version.value(), past.hash});
  object["history"] = std::move(history);
  return json::serialize(object);
}

std::string FormatRecord(const ProposalRecord& record) {
  json::object object = ToJson(record.proposed);
  object["base"] = record.base.value();
  object["delta"] = record.delta;
  return json::serialize(object);
}

std::string FormatRecord(const ZoneRecord& record) {
  json::object object;
  object["version"] = record.version.value();
  object["hash"] = record.hash;
  object["live"] = record.live;
  object["staged"] = record.staged;
  object["active"] = record.active;
  object["least_active"] = record.least_active.value();
  json::array waiting;
  for (const std::string& address : record.waiting)
    waiting.push_back(json::string(address));
  object["waiting"] = std::move(waiting);
  object["rejection"] = record.rejection;
  return json::serialize(object);
}

std::optional<ActiveRecord> ParseActiveRecord(std::string_view text) {
  return ParseWith<ActiveRecord>(text, [](const json::object& object) {
    ActiveRecord record;
    record.active = IdentityOf(object);
    for (const json::value& item : object.at("history").as_array())
      record.history.push_back(
          PastVersion{ConfigVersion(item.at(0).to_number<std::uint64_t>()),
                      item.at(1).to_number<std::uint64_t>()});
    return record;
  });
}

std::optional<ProposalRecord> ParseProposalRecord(std::string_view text) {
  return ParseWith<ProposalRecord>(text, [](const json::object& object) {
    return ProposalRecord{IdentityOf(object),
                          ConfigVersion(NumberAt(object, "base")),
                          StringAt(object, "delta")};
  });
}

std::optional<ZoneRecord> ParseZoneRecord(std::string_view text) {
  return ParseWith<ZoneRecord>(text, [](const json::object& object) {
    ZoneRecord record;
    record.version = ConfigVersion(NumberAt(object, "version"));
    record.hash = NumberAt(object, "hash");
    record.live = NumberAt(object, "live");
    record.staged = NumberAt(object, "staged");
    record.active = NumberAt(object, "active");
    record.least_active = ConfigVersion(NumberAt(object, "least_active"));
    for (const json::value& item : object.at("waiting").as_array()) {
      const json::string& address = item.as_string();
      record.waiting.emplace_back(address.data(), address.size());
    }
    record.rejection = StringAt(object, "rejection");
    return record;
  });
}

}  // namespace jujubecove

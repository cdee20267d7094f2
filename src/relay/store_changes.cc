#include "relay/store_changes.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace jujubecove {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// A daemon never waits longer than this for another one.
constexpr std::int64_t kMaxTimeMs = 3'600'000;

std::int64_t ToMs(Duration time) {
  return time / milliseconds(1);
}

std::optional<json::object> ParseObject(const std::string& text) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code ec;
  json::value value = json::parse(text, ec, {}, options);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

std::optional<std::int64_t> Number(const json::object& object,
                                   std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0)
    return std::nullopt;
  return value->get_int64();
}

std::optional<Duration> Time(const json::object& object,
                             std::string_view name) {
  std::optional<std::int64_t> ms = Number(object, name);
  if (!ms || *ms > kMaxTimeMs)
    return std::nullopt;
  return milliseconds(*ms);
}

std::optional<KvItem> DecodeItem(const json::value& value) {
  if (!value.is_object())
    return std::nullopt;
  const json::object& object = value.get_object();
  const json::value* key = object.if_contains("key");
  const json::value* text = object.if_contains("value");
  std::optional<std::int64_t> revision = Number(object, "revision");
  if (key == nullptr || !key->is_string() || !revision)
    return std::nullopt;
  KvItem item;
  item.key = std::string(key->get_string());
  item.revision = StoreRevision(*revision);
  item.removed = text == nullptr;
  if (text != nullptr && !text->is_string())
    return std::nullopt;
  if (text != nullptr)
    item.value = std::string(text->get_string());
  return item;
}

}  // namespace

std::string Encode(const ChangesQuery& query) {
  return json::serialize(json::object{{"era", query.after.era.value()},
                                      {"after", query.after.revision.value()},
                                      {"wait_ms", ToMs(query.wait)}});
}

std::string Encode(const ChangesReply& reply) {
  json::array items;
  for (const KvItem& it : reply.items) {
    json::object item{{"key", it.key}, {"revision", it.revision.value()}};
    if (!it.removed)
      item["value"] = it.value;
    items.push_back(std::move(item));
  }
  return json::serialize(
      json::object{{"state", static_cast<int>(reply.state)},
                   {"era", reply.current.era.value()},
                   {"revision", reply.current.revision.value()},
                   {"items", std::move(items)},
                   {"outage_ms", ToMs(reply.outage)},
                   {"since_outage_ms", ToMs(reply.since_outage)}});
}

std::optional<ChangesQuery> DecodeChangesQuery(const std::string& text) {
  std::optional<json::object> object = ParseObject(text);
  if (!object)
    return std::nullopt;
  std::optional<std::int64_t> era = Number(*object, "era");
  std::optional<std::int64_t> after = Number(*object, "after");
  std::optional<Duration> wait = Time(*object, "wait_ms");
  if (!era || !after || !wait)
    return std::nullopt;
  return ChangesQuery{
      .after = {.era = StoreEra(*era), .revision = StoreRevision(*after)},
      .wait = *wait};
}

std::optional<ChangesReply> DecodeChangesReply(const std::string& text) {
  std::optional<json::object> object = ParseObject(text);
  if (!object)
    return std::nullopt;
  std::optional<std::int64_t> state = Number(*object, "state");
  std::optional<std::int64_t> era = Number(*object, "era");
  std::optional<std::int64_t> revision = Number(*object, "revision");
  std::optional<Duration> outage = Time(*object, "outage_ms");
  std::optional<Duration> since = Time(*object, "since_outage_ms");
  const json::value* items = object->if_contains("items");
  if (!state || *state > static_cast<int>(ViewState::kNoHistory) || !era ||
      !revision || !outage || !since || items == nullptr || !items->is_array())
    return std::nullopt;
  ChangesReply reply;
  reply.state = static_cast<ViewState>(*state);
  reply.current = {.era = StoreEra(*era), .revision = StoreRevision(*revision)};
  reply.outage = *outage;
  reply.since_outage = *since;
  for (const json::value& it : items->get_array()) {
    std::optional<KvItem> item = DecodeItem(it);
    if (!item)
      return std::nullopt;
    reply.items.push_back(std::move(*item));
  }
  return reply;
}

}  // namespace jujubecove

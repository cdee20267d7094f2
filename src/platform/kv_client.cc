#include "platform/kv_client.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "platform/json_codec.h"
#include "platform/wire_names.h"
#include "telemetry/log.h"

namespace jujubecove::platform {
namespace {

namespace json = boost::json;

// A page holds at most about 1 MB, which base64 grows by a third.
constexpr std::size_t kMaxReplyBytes = 8U << 20U;

KvStatus StatusOf(const std::optional<WireReply>& reply) {
  if (!reply)
    return KvStatus::kUnknown;
  switch (reply->status) {
    case 200:
    case 201:
    case 204:
      return KvStatus::kOk;
    case 404:
      return KvStatus::kNotFound;
    case 410:
      return KvStatus::kCompacted;
    case 412:
      return KvStatus::kConflict;
    default:
      break;
  }
  JJ_LOG(kStore, DEBUG) << "the store answered " << reply->status;
  return KvStatus::kRefused;
}

// Zero if there is no reply or it does not tell.
StoreEra EraOf(const std::optional<WireReply>& reply) {
  if (!reply)
    return StoreEra();
  std::string_view text = FindHeader(reply->headers, kStoreEra);
  std::int64_t era = 0;
  std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), era);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      era < 0)
    return StoreEra();
  return StoreEra(era);
}

std::optional<KvItem> DecodeItem(const json::value& value) {
  if (!value.is_object())
    return std::nullopt;
  const json::object& object = value.get_object();
  std::optional<std::string> key = StringField(object, "Key");
  std::optional<std::int64_t> revision = IntegerField(object, "Revision");
  if (!key || !revision || *revision < 0)
    return std::nullopt;
  KvItem item;
  item.key = *key;
  item.revision = StoreRevision(*revision);
  const json::value* removed = object.if_contains("Removed");
  item.removed =
      removed != nullptr && removed->is_bool() && removed->get_bool();
  std::optional<std::string> text =
      DecodeBase64(StringField(object, "Value").value_or(""));
  if (!text) {
    JJ_LOG(kStore, WARNING) << "value of " << *key << " is not base64";
    text = "";
  }
  item.value = std::move(*text);
  return item;
}

// `items_field` names the field that holds the items.
KvPage DecodePage(const HttpExchange& exchange, std::string_view items_field) {
  const std::optional<WireReply>& reply = exchange.reply;
  KvPage page;
  page.status = StatusOf(reply);
  page.sent = exchange.written;
  if (exchange.too_large)
    page.status = KvStatus::kTooLarge;
  page.era = EraOf(reply);
  if (page.status != KvStatus::kOk)
    return page;
  std::optional<json::object> object = ParseObject(reply->body);
  const json::value* items =
      object ? object->if_contains(items_field) : nullptr;
  if (items == nullptr || !items->is_array()) {
    JJ_LOG(kStore, WARNING) << "the store sent a malformed page";
    page.status = KvStatus::kUnknown;
    return page;
  }
  for (const json::value& it : items->get_array()) {
    if (std::optional<KvItem> item = DecodeItem(it))
      page.items.push_back(std::move(*item));
    else
      JJ_LOG(kStore, WARNING) << "skipped a store item without key or revision";
  }
  const json::value* more = object->if_contains("HasMore");
  page.has_more = more != nullptr && more->is_bool() && more->get_bool();
  std::optional<std::int64_t> revision = IntegerField(*object, "CurrentRev");
  // The next call could not go on from such a page.
  if (!revision || *revision < 0 || (page.has_more && page.items.empty())) {
    JJ_LOG(kStore, WARNING) << "the store sent a page without a revision or "
                               "without readable items";
    page.status = KvStatus::kUnknown;
    return page;
  }
  page.current_revision = StoreRevision(*revision);
  return page;
}

}  // namespace

PlatformKvClient::PlatformKvClient(boost::asio::io_context& context,
                                   TimerService& timers,
                                   const SocketAddress& address,
                                   Duration call_timeout)
    : client_(context, timers, address, kMaxReplyBytes),
      call_timeout_(call_timeout) {}

void PlatformKvClient::Range(const std::string& prefix,
                             const std::string& after,
                             std::function<void(KvPage)> done) {
  std::string target = "/v1/kv-range?Prefix=" + EscapeQuery(prefix);
  if (!after.empty())
    target += "&after=" + EscapeQuery(after);
  client_.Call("GET", target, "", call_timeout_,
               [done = std::move(done)](const HttpExchange& exchange) {
                 done(DecodePage(exchange, "items"));
               });
}

void PlatformKvClient::Watch(const std::string& prefix,
                             StorePosition after,
                             Duration wait,
                             std::function<void(KvPage)> done) {
  std::string target =
      "/v1/kv-watch?Prefix=" + EscapeQuery(prefix) +
      "&after=" + std::to_string(after.revision.value()) +
      "&WaitMs=" + std::to_string(wait / std::chrono::milliseconds(1));
  client_.Call("GET", target, "", wait + call_timeout_,
               [done = std::move(done)](const HttpExchange& exchange) {
                 done(DecodePage(exchange, "events"));
               });
}

void PlatformKvClient::Put(const std::string& key,
                           const std::string& value,
                           StoreLease lease,
                           std::function<void(KvWriteResult)> done) {
  json::object write{{"Key", key}, {"Value", EncodeBase64(value)}};
  if (lease.value() != 0)
    write["Lease"] = lease.value();
  Write(json::object{{"Writes", json::array{write}}}, std::move(done));
}

void PlatformKvClient::Delete(const std::string& key,
                              std::function<void(KvWriteResult)> done) {
  Write(json::object{{"Deletes", json::array{key}}}, std::move(done));
}

void PlatformKvClient::Write(const json::object& change,
                             std::function<void(KvWriteResult)> done) {
  client_.Call(
      "POST", "/v1/kv-txn", json::serialize(change), call_timeout_,
      [done = std::move(done)](const HttpExchange& exchange) {
        const std::optional<WireReply>& reply = exchange.reply;
        KvWriteResult write;
        write.status = StatusOf(reply);
        write.era = EraOf(reply);
        if (write.status == KvStatus::kOk) {
          std::optional<json::object> object = ParseObject(reply->body);
          if (object) {
            write.revision =
                StoreRevision(IntegerField(*object, "Revision").value_or(0));
          }
        }
        done(write);
      });
}

void PlatformKvClient::GrantLease(Duration ttl,
                                  std::function<void(KvLeaseResult)> done) {
  json::object body{{"TtlMs", ttl / std::chrono::milliseconds(1)}};
  client_.Call("POST", "/v1/kv-lease", json::serialize(body), call_timeout_,
               [done = std::move(done)](const HttpExchange& exchange) {
                 const std::optional<WireReply>& reply = exchange.reply;
                 KvLeaseResult lease;
                 lease.status = StatusOf(reply);
                 lease.era = EraOf(reply);
                 if (lease.status == KvStatus::kOk) {
                   std::optional<json::object> object =
                       ParseObject(reply->body);
                   std::optional<std::int64_t> id =
                       object ? IntegerField(*object, "Lease") : std::nullopt;
                   lease.lease = StoreLease(id.value_or(0));
                   if (!id)
                     lease.status = KvStatus::kUnknown;
                 }
                 done(lease);
               });
}

void PlatformKvClient::RenewLease(StoreLease lease,
                                  std::function<void(KvLeaseResult)> done) {
  client_.Call("POST", "/v1/kv-keep/" + std::to_string(lease.value()), "",
               call_timeout_,
               [lease, done = std::move(done)](const HttpExchange& exchange) {
                 done({.status = StatusOf(exchange.reply),
                       .lease = lease,
                       .era = EraOf(exchange.reply)});
               });
}

}  // namespace jujubecove::platform

#include "tests/standin/kv_server.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "platform/json_codec.h"
#include "platform/wire_names.h"

namespace jujubecove {
namespace {

namespace json = boost::json;
using platform::EncodeBase64;

int HttpStatusOf(KvStatus status) {
  switch (status) {
    case KvStatus::kOk:
      return 200;
    case KvStatus::kConflict:
      return 412;
    case KvStatus::kNotFound:
      return 404;
    case KvStatus::kCompacted:
      return 410;
    case KvStatus::kRefused:
    case KvStatus::kTooLarge:
    case KvStatus::kUnknown:
      break;
  }
  return 503;
}

// Returns the value of a query parameter, or an empty string.
std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    std::size_t end = target.find('&', begin + 1);
    std::string part = target.substr(begin + 1, end - begin - 1);
    if (part.starts_with(name + "="))
      return part.substr(name.size() + 1);
    begin = end;
  }
  return "";
}

json::object ToJson(const KvItem& item) {
  if (item.removed) {
    return json::object{{"Key", item.key},
                        {"Revision", item.revision.value()},
                        {"Removed", true}};
  }
  return json::object{{"Key", item.key},
                      {"Value", EncodeBase64(item.value)},
                      {"Revision", item.revision.value()}};
}

std::function<void(KvPage)> PageResponder(
    const char* list,
    const standin::AdminServer::Respond& respond) {
  return [list, respond](const KvPage& page) {
    json::array items;
    for (const KvItem& it : page.items)
      items.push_back(ToJson(it));
    json::object body{{list, std::move(items)},
                      {"HasMore", page.has_more},
                      {"CurrentRev", page.current_revision.value()}};
    respond(static_cast<unsigned>(HttpStatusOf(page.status)),
            json::serialize(body));
  };
}

// A change without conditions.
struct Transaction {
  struct Put {
    std::string key;
    std::string value;
    StoreLease lease;
  };
  std::vector<Put> writes;
  std::vector<std::string> deletes;
};

const json::array* EntriesOf(const json::object& body, std::string_view name) {
  static const json::array kNone;
  const json::value* entries = body.if_contains(name);
  if (entries == nullptr)
    return &kNone;
  return entries->is_array() ? &entries->get_array() : nullptr;
}

// Returns nothing for a change that is malformed, empty or has conditions.
std::optional<Transaction> DecodeTransaction(const json::object& body) {
  const json::array* expected = EntriesOf(body, "Expect");
  const json::array* writes = EntriesOf(body, "Writes");
  const json::array* deletes = EntriesOf(body, "Deletes");
  if (expected == nullptr || !expected->empty() || writes == nullptr ||
      deletes == nullptr || writes->size() + deletes->size() == 0)
    return std::nullopt;
  Transaction change;
  for (const json::value& it : *writes) {
    if (!it.is_object())
      return std::nullopt;
    const json::object& write = it.get_object();
    std::optional<std::string> key = platform::StringField(write, "Key");
    std::optional<std::string> value = platform::DecodeBase64(
        platform::StringField(write, "Value").value_or("?"));
    if (!key || !value)
      return std::nullopt;
    StoreLease lease(platform::IntegerField(write, "Lease").value_or(0));
    change.writes.push_back({*key, *value, lease});
  }
  for (const json::value& it : *deletes) {
    if (!it.is_string())
      return std::nullopt;
    change.deletes.emplace_back(it.get_string());
  }
  return change;
}

}  // namespace

KvServer::KvServer(boost::asio::io_context& context, std::uint16_t port)
    : timers_(context),
      store_(timers_),
      server_(context,
              port,
              [this](const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     const Respond& respond) {
                Handle(method, target, body, respond);
              }) {}

void KvServer::Handle(const std::string& method,
                      const std::string& target,
                      const std::string& body,
                      const Respond& respond) {
  if (method == "GET") {
    HandleRead(target, respond);
    return;
  }
  json::object object = platform::ParseObject(body).value_or(json::object());
  if (target == "/v1/kv-txn") {
    HandleWrite(object, respond);
  } else if (target == "/v1/kv-lease") {
    store_.GrantLease(Duration(0), [respond](const KvLeaseResult& lease) {
      respond(static_cast<unsigned>(HttpStatusOf(lease.status)),
              json::serialize(json::object{{"Lease", lease.lease.value()}}));
    });
  } else {
    respond(200, "{}");
  }
}

void KvServer::HandleRead(const std::string& target, const Respond& respond) {
  std::string prefix = Parameter(target, "Prefix");
  std::string after = Parameter(target, "after");
  if (target.starts_with("/v1/kv-range")) {
    store_.Range(prefix, after, PageResponder("items", respond));
  } else if (target.starts_with("/v1/kv-watch")) {
    std::int64_t wait = std::atoll(Parameter(target, "WaitMs").c_str());
    store_.Watch(prefix, {.revision = StoreRevision(std::atoll(after.c_str()))},
                 std::chrono::milliseconds(wait),
                 PageResponder("events", respond));
  } else {
    respond(404, "{}");
  }
}

void KvServer::HandleWrite(const json::object& body, const Respond& respond) {
  std::optional<Transaction> change = DecodeTransaction(body);
  if (!change) {
    respond(400, "{}");
    return;
  }
  // The last entry answers the call.
  std::size_t entries = change->writes.size() + change->deletes.size();
  auto done = [respond, left = std::make_shared<std::size_t>(entries)](
                  const KvWriteResult& write) {
    if (--*left > 0)
      return;
    respond(
        static_cast<unsigned>(HttpStatusOf(write.status)),
        json::serialize(json::object{{"Revision", write.revision.value()}}));
  };
  for (const Transaction::Put& it : change->writes)
    store_.Put(it.key, it.value, it.lease, done);
  for (const std::string& it : change->deletes)
    store_.Delete(it, done);
}

bool KvServer::RegisterSearchers(std::string_view list) {
  std::optional<json::object> object = platform::ParseObject(list);
  const json::value* vms = object ? object->if_contains("vms") : nullptr;
  if (vms == nullptr || !vms->is_array())
    return false;
  ++heartbeat_;
  for (const json::value& it : vms->get_array()) {
    if (!it.is_object())
      return false;
    const json::object& vm = it.get_object();
    const json::value* leaving = vm.if_contains("leaving");
    bool draining =
        leaving != nullptr && leaving->is_bool() && leaving->get_bool();
    json::object entry{
        {"Service", platform::StringField(vm, "service").value_or("")},
        {"Address", platform::StringField(vm, "address").value_or("")},
        {"Zone", platform::StringField(vm, "zone").value_or("")},
        {"Slots", 1},
        {"State", draining ? "draining" : "ready"},
        {"Sequence", heartbeat_}};
    store_.Set(std::string(platform::kSearcherPrefix) +
                   platform::StringField(vm, "id").value_or(""),
               json::serialize(entry));
  }
  return true;
}

}  // namespace jujubecove

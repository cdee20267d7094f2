#include "store/store_codec.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>

namespace jujubecove {
namespace {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view body) {
  json::error_code ec;
  json::value parsed = json::parse(json::string_view(body), ec);
  if (ec || !parsed.is_object())
    return std::nullopt;
  return parsed.as_object();
}

std::optional<std::uint64_t> NumberOf(const json::object& object,
                                      std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr)
    return std::nullopt;
  json::error_code ec;
  std::uint64_t number = field->to_number<std::uint64_t>(ec);
  if (ec)
    return std::nullopt;
  return number;
}

std::optional<std::string> StringOf(const json::object& object,
                                    std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_string())
    return std::nullopt;
  const json::string& text = field->get_string();
  return std::string(text.data(), text.size());
}

std::int64_t MillisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::optional<VmRecord> ParseVm(const json::value& value) {
  if (!value.is_object())
    return std::nullopt;
  const json::object& object = value.get_object();
  std::optional<std::string> id = StringOf(object, "id");
  std::optional<std::string> address = StringOf(object, "address");
  std::optional<std::string> zone = StringOf(object, "zone");
  std::optional<std::string> role = StringOf(object, "role");
  if (!id || !address || !zone || (role != "entry" && role != "searcher"))
    return std::nullopt;
  VmRecord vm{VmId(*id), *address, ZoneName(*zone)};
  vm.role = *role == "entry" ? VmRole::kEntry : VmRole::kSearcher;
  vm.service = ServiceName(StringOf(object, "service").value_or(""));
  const json::value* leaving = object.if_contains("leaving");
  vm.leaving = leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  return vm;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == '~' || c == '/';
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

}  // namespace

std::string FormatValue(StoreRevision revision, std::string_view value) {
  json::object object;
  object["revision"] = revision.value();
  object["value"] = value;
  return json::serialize(object);
}

std::optional<StoreReply> ParseValue(std::string_view body) {
  std::optional<json::object> object = ParseObject(body);
  if (!object)
    return std::nullopt;
  std::optional<std::uint64_t> revision = NumberOf(*object, "revision");
  if (!revision)
    return std::nullopt;
  return StoreReply{StoreStatus::kDone, StoreRevision(*revision),
                    StringOf(*object, "value").value_or("")};
}

std::string FormatLeaseRequest(const std::string& name,
                               const std::string& holder,
                               Duration time_to_live) {
  json::object object;
  object["name"] = name;
  object["holder"] = holder;
  object["ttl_ms"] = MillisecondsOf(time_to_live);
  return json::serialize(object);
}

std::string FormatLease(const LeaseReply& lease) {
  json::object object;
  object["token"] = lease.token;
  object["ttl_ms"] = MillisecondsOf(lease.time_to_live);
  return json::serialize(object);
}

std::optional<LeaseReply> ParseLease(std::string_view body) {
  std::optional<json::object> object = ParseObject(body);
  if (!object)
    return std::nullopt;
  std::optional<std::uint64_t> token = NumberOf(*object, "token");
  std::optional<std::uint64_t> ttl = NumberOf(*object, "ttl_ms");
  if (!token || !ttl)
    return std::nullopt;
  return LeaseReply{StoreStatus::kDone, *token,
                    std::chrono::milliseconds(*ttl)};
}

std::string FormatVms(VmListRevision revision,
                      const std::vector<VmRecord>& vms) {
  json::array list;
  for (const VmRecord& vm : vms) {
    json::object object;
    object["id"] = vm.id.value();
    object["address"] = vm.address;
    object["zone"] = vm.zone.value();
    object["role"] = vm.role == VmRole::kEntry ? "entry" : "searcher";
    if (vm.role == VmRole::kSearcher)
      object["service"] = vm.service.value();
    object["leaving"] = vm.leaving;
    list.push_back(std::move(object));
  }
  json::object body;
  body["revision"] = revision.value();
  body["vms"] = std::move(list);
  return json::serialize(body);
}

std::optional<VmListReply> ParseVms(std::string_view body) {
  std::optional<json::object> object = ParseObject(body);
  if (!object)
    return std::nullopt;
  const json::value* list = object->if_contains("vms");
  if (list == nullptr || !list->is_array())
    return std::nullopt;
  VmListReply reply;
  reply.status = StoreStatus::kDone;
  reply.revision = VmListRevision(NumberOf(*object, "revision").value_or(0));
  for (const json::value& value : list->get_array()) {
    std::optional<VmRecord> vm = ParseVm(value);
    if (!vm)
      return std::nullopt;
    reply.vms.push_back(std::move(*vm));
  }
  return reply;
}

std::string EscapeKey(std::string_view key) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string path;
  for (char c : key) {
    if (IsUnreserved(c)) {
      path += c;
      continue;
    }
    unsigned char byte = static_cast<unsigned char>(c);
    path += '%';
    path += kDigits[byte >> 4U];
    path += kDigits[byte & 15U];
  }
  return path;
}

std::optional<std::string> UnescapeKey(std::string_view path) {
  std::string key;
  for (std::size_t n = 0; n < path.size(); ++n) {
    if (path[n] != '%') {
      key += path[n];
      continue;
    }
    if (n + 2 >= path.size() || HexDigit(path[n + 1]) < 0 ||
        HexDigit(path[n + 2]) < 0)
      return std::nullopt;
    key +=
        static_cast<char>(HexDigit(path[n + 1]) * 16 + HexDigit(path[n + 2]));
    n += 2;
  }
  return key;
}

}  // namespace jujubecove

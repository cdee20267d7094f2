#include "quota/peer_quota_transport.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace jujubecove {
namespace {

constexpr int kStatusOk = 200;
// Long enough that a busy owner's answer is not lost with its connection.
constexpr Duration kAskTimeout = std::chrono::seconds(1);
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxNextMicros = 3'600'000'000;

std::optional<boost::json::object> Parse(const std::string& body) {
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(body, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.as_object());
}

// An integer from zero to `max`.
std::optional<std::int64_t> Integer(const boost::json::object& object,
                                    const char* name,
                                    std::int64_t max) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->as_int64() < 0 ||
      value->as_int64() > max)
    return std::nullopt;
  return value->as_int64();
}

std::optional<std::string> Text(const boost::json::object& object,
                                const char* name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string())
    return std::nullopt;
  return std::string(value->as_string());
}

}  // namespace

void PeerQuotaTransport::Ask(const QuotaOwnerVm& owner,
                             const TokenRequest& request,
                             GrantHandler done) {
  client_.Call(owner.peer_address, "POST", kQuotaAskPath,
               EncodeTokenRequest(request), kAskTimeout,
               [done = std::move(done)](const HttpExchange& exchange) {
                 if (exchange.reply && exchange.reply->status == kStatusOk)
                   done(DecodeTokenGrant(exchange.reply->body));
                 else
                   done(std::nullopt);
               });
}

void PeerQuotaTransport::Announce(const DaemonEntry& peer,
                                  const DaemonEntry& own,
                                  AckHandler done) {
  client_.Call(*peer.peer_address, "POST", kQuotaAnnouncePath,
               EncodeAnnouncement(own), kAskTimeout,
               [done = std::move(done)](const HttpExchange& exchange) {
                 done(exchange.reply && exchange.reply->status == kStatusOk);
               });
}

std::string EncodeTokenRequest(const TokenRequest& request) {
  boost::json::object object{{"workspace", request.workspace.value()},
                             {"vm", request.vm.value()},
                             {"needed", request.needed},
                             {"ahead", request.ahead}};
  return boost::json::serialize(object);
}

std::optional<TokenRequest> DecodeTokenRequest(const std::string& body) {
  std::optional<boost::json::object> object = Parse(body);
  if (!object)
    return std::nullopt;
  std::optional<std::string> workspace = Text(*object, "workspace");
  std::optional<std::string> vm = Text(*object, "vm");
  std::optional<std::int64_t> needed = Integer(*object, "needed", kMaxTokens);
  std::optional<std::int64_t> ahead = Integer(*object, "ahead", kMaxTokens);
  if (!workspace || !vm || !needed || !ahead)
    return std::nullopt;
  return TokenRequest{WorkspaceName(*workspace), VmId(*vm),
                      static_cast<int>(*needed), static_cast<int>(*ahead)};
}

std::string EncodeTokenGrant(const TokenGrant& grant) {
  boost::json::object object{
      {"granted", grant.granted},
      {"owner", grant.owner ? 1 : 0},
      {"next_us", std::min<std::int64_t>(grant.next.count(), kMaxNextMicros)}};
  return boost::json::serialize(object);
}

std::optional<TokenGrant> DecodeTokenGrant(const std::string& body) {
  std::optional<boost::json::object> object = Parse(body);
  if (!object)
    return std::nullopt;
  std::optional<std::int64_t> granted = Integer(*object, "granted", kMaxTokens);
  std::optional<std::int64_t> owner = Integer(*object, "owner", 1);
  std::optional<std::int64_t> next =
      Integer(*object, "next_us", kMaxNextMicros);
  if (!granted || !owner || !next)
    return std::nullopt;
  return TokenGrant{static_cast<int>(*granted), *owner == 1, Duration(*next)};
}

std::string EncodeAnnouncement(const DaemonEntry& entry) {
  boost::json::object object{
      {"vm", entry.vm.value()},
      {"zone", entry.zone.value()},
      {"incarnation", std::to_string(entry.incarnation.value())},
      {"peers", entry.peer_address ? entry.peer_address->ToString() : ""}};
  return boost::json::serialize(object);
}

std::optional<DaemonEntry> DecodeAnnouncement(const std::string& body) {
  std::optional<boost::json::object> object = Parse(body);
  if (!object)
    return std::nullopt;
  std::optional<std::string> vm = Text(*object, "vm");
  std::optional<std::string> zone = Text(*object, "zone");
  std::optional<std::string> incarnation = Text(*object, "incarnation");
  std::optional<std::string> peers = Text(*object, "peers");
  if (!vm || !zone || !incarnation || !peers)
    return std::nullopt;
  DaemonEntry entry;
  entry.vm = VmId(*vm);
  entry.zone = ZoneName(*zone);
  entry.incarnation =
      IncarnationId(std::strtoull(incarnation->c_str(), nullptr, 10));
  entry.peer_address = SocketAddress::Parse(*peers);
  if (!entry.peer_address)
    return std::nullopt;
  return entry;
}

}  // namespace jujubecove

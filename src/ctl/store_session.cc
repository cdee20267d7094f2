#include "ctl/store_session.h"

#include <set>
#include <utility>

namespace jujubecove {
namespace {

// A lost reply is common enough to ask again; an outage of seconds is not worth
// waiting for in a tool.
constexpr int kReadAttempts = 4;

Error Unreachable(const std::string& what) {
  return Error{ErrorKind::kNotReady, "the platform did not answer: " + what};
}

}  // namespace

StoreSession::StoreSession(const HttpStoreOptions& options)
    : timers_(context_), store_(context_, options) {}

Result<std::unique_ptr<StoreSession>> StoreSession::Open(
    const std::string& address) {
  Result<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint)
    return endpoint.error();
  HttpStoreOptions options;
  options.endpoint = endpoint.value();
  return std::unique_ptr<StoreSession>(new StoreSession(options));
}

void StoreSession::RunUntil(const bool& done) {
  context_.restart();
  while (!done && context_.run_one() > 0) {
  }
}

Result<StoreReply> StoreSession::Read(const std::string& key) {
  StoreReply answer;
  for (int n = 0; n < kReadAttempts; ++n) {
    bool done = false;
    store_.Read(key, [&answer, &done](StoreReply reply) {
      answer = std::move(reply);
      done = true;
    });
    RunUntil(done);
    if (answer.status == StoreStatus::kDone ||
        answer.status == StoreStatus::kNotFound)
      return answer;
  }
  return Unreachable(key);
}

Result<std::optional<ActiveRecord>> StoreSession::ReadActive() {
  Result<StoreReply> reply = Read(kActiveKey);
  if (!reply)
    return reply.error();
  if (reply.value().status == StoreStatus::kNotFound)
    return std::optional<ActiveRecord>();
  std::optional<ActiveRecord> record = ParseActiveRecord(reply.value().value);
  if (!record)
    return Error{ErrorKind::kInternal, "the active record is malformed"};
  return record;
}

Result<std::string> StoreSession::ReadDocument(ConfigVersion version) {
  Result<StoreReply> reply = Read(DocumentKey(version));
  if (!reply)
    return reply.error();
  if (reply.value().status == StoreStatus::kNotFound)
    return Error{ErrorKind::kNotFound,
                 "no document of version " + std::to_string(version.value())};
  return std::move(reply.value().value);
}

Result<std::vector<std::string>> StoreSession::ReadZones() {
  VmListReply answer;
  bool done = false;
  store_.Fetch([&answer, &done](VmListReply reply) {
    answer = std::move(reply);
    done = true;
  });
  RunUntil(done);
  if (answer.status != StoreStatus::kDone)
    return Unreachable("the VM list");
  std::set<std::string> zones;
  for (const VmRecord& vm : answer.vms) {
    if (vm.role == VmRole::kEntry && !vm.leaving)
      zones.insert(vm.zone.value());
  }
  return std::vector<std::string>(zones.begin(), zones.end());
}

std::optional<ZoneRecord> StoreSession::ReadZone(const std::string& zone) {
  Result<StoreReply> reply = Read(ZoneKey(zone));
  if (!reply || reply.value().status != StoreStatus::kDone)
    return std::nullopt;
  return ParseZoneRecord(reply.value().value);
}

ApplyReport StoreSession::Apply(std::vector<std::string> zones,
                                ApplyRequest request) {
  ApplyReport result;
  bool done = false;
  Activator activator(timers_, store_, std::move(zones));
  activator.Apply(std::move(request),
                  [&result, &done](const ApplyReport& report) {
                    result = report;
                    done = true;
                  });
  RunUntil(done);
  return result;
}

}  // namespace jujubecove

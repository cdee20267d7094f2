#include "tests/soak/invariant_checker.h"

#include <algorithm>
#include <boost/algorithm/string/split.hpp>
#include <cstdlib>
#include <utility>

#include "dispatch/top_records.h"
#include "platform/wire_names.h"
#include "tests/soak/soak_config.h"

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;

// An answer may arrive this long after the deadline.
constexpr Duration kTimeoutSlack = milliseconds(500);
// Maximum time from sending a request until the searcher receives it.
constexpr Duration kTransitTime = milliseconds(100);

bool StatesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  boost::split(
      parts, text, [](char it) { return it == ',' || it == ' '; },
      boost::token_compress_on);
  std::erase(parts, "");
  return parts;
}

}  // namespace

void InvariantChecker::OnFault(std::size_t daemon, TimePoint until) {
  daemons_[daemon].last_fault_end =
      std::max(daemons_[daemon].last_fault_end, until);
}

void InvariantChecker::OnRequest(const CallerRequest& request) {
  records_.emplace(request.id, Record{request, {}, false});
}

void InvariantChecker::OnRun(const SearcherRun& run, TimePoint now) {
  auto it = records_.find(run.request_id);
  if (it == records_.end()) {
    AddViolation("unasked", CallerRequest{.id = run.request_id},
                 "no caller sent a request with this id");
    return;
  }
  Record& record = it->second;
  const CallerRequest& request = record.request;
  record.runs.push_back(run);
  if (run.target != request.target || run.body != request.body)
    AddViolation("unasked", request, "the searcher received " + run.target);
  const std::set<std::string>& allowed =
      request.kind == RequestKind::kSearch ? shards_ : lookup_services_;
  if (!allowed.contains(run.service))
    AddViolation("route", request, "it ran at " + run.service);
  if (request.kind == RequestKind::kPayment && record.runs.size() > 1)
    AddViolation("twice", request, "it ran again at " + run.searcher);
  if (request.kind == RequestKind::kPayment && record.refused)
    AddViolation("refused", request, "it ran after it was refused as not run");
  auto draining = draining_searchers_.find(run.searcher);
  if (draining != draining_searchers_.end() &&
      now > draining->second + kDrainBound + kTransitTime &&
      request.sent > draining->second + kDrainBound &&
      IsSettled(request.daemon, request.sent))
    AddViolation("drain", request,
                 "it reached " + run.searcher + ", which is draining");
}

void InvariantChecker::OnOutcome(const CallerRequest& request,
                                 const RequestOutcome& outcome) {
  Record& record = records_.at(request.id);
  if (request.kind != RequestKind::kVersionProbe)
    ++finished_count_;
  if (!outcome.reply) {
    CheckLostConnection(record, outcome);
    return;
  }
  const WireReply& reply = *outcome.reply;
  if (outcome.at > request.sent + request.deadline + kTimeoutSlack &&
      IsSettled(request.daemon, request.sent))
    AddViolation("late", request,
                 "answered " + std::to_string(reply.status) +
                     " long after its deadline");
  CheckVersion(record, reply.status);
  CheckRefusal(record, reply.status);
  CheckReply(record, reply);
}

void InvariantChecker::CheckReply(const Record& record,
                                  const WireReply& reply) {
  if (reply.status < 200 || reply.status >= 300)
    return;
  if (record.request.kind == RequestKind::kSearch)
    CheckSearch(record, reply);
  else
    CheckSingle(record, reply);
  if (record.request.kind != RequestKind::kVersionProbe)
    ++success_count_;
}

std::optional<SearcherRun> InvariantChecker::FindRunByProof(
    const Record& record,
    std::string_view proof) {
  for (const SearcherRun& it : record.runs) {
    if (proof == it.searcher + "." + record.request.id)
      return it;
  }
  return std::nullopt;
}

void InvariantChecker::CheckSearch(const Record& record,
                                   const WireReply& reply) {
  std::set<std::string> services;
  std::vector<std::string> bodies;
  for (const std::string& it :
       SplitList(FindHeader(reply.headers, platform::kPartStamps))) {
    std::optional<SearcherRun> run = FindRunByProof(record, it);
    if (!run || !services.insert(run->service).second) {
      AddViolation("mixed", record.request,
                   "a part has a foreign proof: " + it);
      return;
    }
    bodies.push_back(PlatformSearcher::RecordsOf(run->searcher));
  }
  std::size_t missing = static_cast<std::size_t>(std::atoi(
      std::string(FindHeader(reply.headers, platform::kMissingParts)).c_str()));
  if (services.size() + missing != shards_.size())
    AddViolation("mixed", record.request,
                 "parts and gaps do not add up to all shards");
  if (services.size() < kMinShards)
    AddViolation("mixed", record.request, "too few parts for a success");
  std::vector<std::string_view> parts(bodies.begin(), bodies.end());
  if (reply.body != MergeTopRecords(parts, kTopRecords))
    AddViolation("mixed", record.request, "the body does not match its parts");
}

void InvariantChecker::CheckSingle(const Record& record,
                                   const WireReply& reply) {
  std::optional<SearcherRun> run = FindRunByProof(
      record, FindHeader(reply.headers, platform::kResponseStamp));
  if (!run)
    AddViolation("mixed", record.request, "the proof is of another request");
  else if (reply.body != PlatformSearcher::RecordsOf(run->searcher))
    AddViolation("mixed", record.request,
                 "the body is not that of the searcher");
}

void InvariantChecker::CheckRefusal(Record& record, int status) {
  if (!StatesNotRun(status) || record.request.kind != RequestKind::kPayment)
    return;
  record.refused = true;
  if (!record.runs.empty()) {
    AddViolation("refused", record.request,
                 "answered " + std::to_string(status) + " although it ran");
  }
}

void InvariantChecker::CheckVersion(const Record& record, int status) {
  const CallerRequest& request = record.request;
  if (request.kind != RequestKind::kVersionProbe)
    return;
  Daemon& daemon = daemons_[request.daemon];
  if (daemon.newest_version_process_number != request.process_number) {
    daemon.newest_version_process_number = request.process_number;
    daemon.newest_version = 0;
  }
  if (status == 200)
    daemon.newest_version = std::max(daemon.newest_version, request.version);
  if (status != 404)
    return;
  if (request.version <= daemon.newest_version)
    AddViolation("config", request, "the configuration was rolled back");
  if (request.sent > config_versions_.at(request.version) + kConfigApplyBound &&
      IsSettled(request.daemon, request.sent))
    AddViolation("config", request,
                 "version " + std::to_string(request.version) +
                     " was not applied in time");
}

// A connection may end without an answer after a fault of the daemon, or when
// the daemon closes it before it has forwarded the request.
void InvariantChecker::CheckLostConnection(const Record& record,
                                           const RequestOutcome& outcome) {
  const CallerRequest& request = record.request;
  if (!outcome.written || record.runs.empty() ||
      !IsSettled(request.daemon, request.sent))
    return;
  if (outcome.at < daemons_[request.daemon].last_fault_end)
    return;
  bool stopping =
      daemons_[request.daemon].terminated_at >= request.sent - kSettleTime;
  AddViolation("lost", request,
               stopping ? "cut off by a graceful shutdown"
                        : "its connection ended without an answer");
}

void InvariantChecker::AddViolation(const std::string& rule,
                                    const CallerRequest& request,
                                    const std::string& detail) {
  violations_.push_back(rule + ": request " + request.id + " to daemon " +
                        std::to_string(request.daemon) + " (" + request.target +
                        "): " + detail);
}

}  // namespace jujubecove::soak

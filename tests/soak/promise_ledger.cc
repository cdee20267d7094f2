#include "tests/soak/promise_ledger.h"

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

// An answer may come so much after the route's timeout.
constexpr Duration kTimeoutSlack = milliseconds(500);
// A request may reach a searcher so much after it was sent on.
constexpr Duration kFlight = milliseconds(100);

bool PromisesNotRun(int status) {
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

void PromiseLedger::OnFault(std::size_t daemon, TimePoint until) {
  daemons_[daemon].disturbed_until =
      std::max(daemons_[daemon].disturbed_until, until);
}

void PromiseLedger::OnAsk(const Ask& ask) {
  records_.emplace(ask.id, Record{ask, {}, false});
}

void PromiseLedger::OnRun(const SearcherRun& run, TimePoint now) {
  auto it = records_.find(run.request);
  if (it == records_.end()) {
    Violate("unasked", Ask{.id = run.request}, "no caller sent this id");
    return;
  }
  Record& record = it->second;
  const Ask& ask = record.ask;
  record.runs.push_back(run);
  if (run.target != ask.target || run.body != ask.body)
    Violate("unasked", ask, "the searcher got " + run.target);
  const std::set<std::string>& allowed =
      ask.kind == AskKind::kSearch ? shards_ : lookup_services_;
  if (!allowed.contains(run.service))
    Violate("route", ask, "it ran at " + run.service);
  if (ask.kind == AskKind::kPayment && record.runs.size() > 1)
    Violate("twice", ask, "it ran again at " + run.searcher);
  if (ask.kind == AskKind::kPayment && record.refused)
    Violate("refused", ask, "it ran after it was refused as not run");
  auto draining = draining_.find(run.searcher);
  if (draining != draining_.end() &&
      now > draining->second + kDrain + kFlight &&
      ask.sent > draining->second + kDrain && IsCalm(ask.daemon, ask.sent))
    Violate("drain", ask, "it reached " + run.searcher + ", which leaves");
}

void PromiseLedger::OnOutcome(const Ask& ask, const AskOutcome& outcome) {
  Record& record = records_.at(ask.id);
  if (ask.kind != AskKind::kVersionProbe)
    ++asked_;
  if (!outcome.reply) {
    CheckCut(record, outcome);
    return;
  }
  const WireReply& reply = *outcome.reply;
  if (outcome.at > ask.sent + ask.deadline + kTimeoutSlack &&
      IsCalm(ask.daemon, ask.sent))
    Violate("late", ask,
            "answered " + std::to_string(reply.status) +
                " long after its deadline");
  CheckVersion(record, reply.status);
  CheckRefusal(record, reply.status);
  CheckReply(record, reply);
}

void PromiseLedger::CheckReply(const Record& record, const WireReply& reply) {
  if (reply.status < 200 || reply.status >= 300)
    return;
  if (record.ask.kind == AskKind::kSearch)
    CheckSearch(record, reply);
  else
    CheckSingle(record, reply);
  if (record.ask.kind != AskKind::kVersionProbe)
    ++served_;
}

std::optional<SearcherRun> PromiseLedger::RunOfProof(const Record& record,
                                                     std::string_view proof) {
  for (const SearcherRun& it : record.runs) {
    if (proof == it.searcher + "." + record.ask.id)
      return it;
  }
  return std::nullopt;
}

void PromiseLedger::CheckSearch(const Record& record, const WireReply& reply) {
  std::set<std::string> services;
  std::vector<std::string> bodies;
  for (const std::string& it :
       SplitList(FindHeader(reply.headers, platform::kPartStamps))) {
    std::optional<SearcherRun> run = RunOfProof(record, it);
    if (!run || !services.insert(run->service).second) {
      Violate("mixed", record.ask, "a part is not its own: " + it);
      return;
    }
    bodies.push_back(PlatformSearcher::RecordsOf(run->searcher));
  }
  std::size_t missing = static_cast<std::size_t>(std::atoi(
      std::string(FindHeader(reply.headers, platform::kMissingParts)).c_str()));
  if (services.size() + missing != shards_.size())
    Violate("mixed", record.ask, "parts and gaps are not the whole map");
  if (services.size() < kLeastShards)
    Violate("mixed", record.ask, "too few parts for a success");
  std::vector<std::string_view> parts(bodies.begin(), bodies.end());
  if (reply.body != MergeTopRecords(parts, kTopRecords))
    Violate("mixed", record.ask, "the body is not that of its parts");
}

void PromiseLedger::CheckSingle(const Record& record, const WireReply& reply) {
  std::optional<SearcherRun> run =
      RunOfProof(record, FindHeader(reply.headers, platform::kResponseStamp));
  if (!run)
    Violate("mixed", record.ask, "the proof is not its own");
  else if (reply.body != PlatformSearcher::RecordsOf(run->searcher))
    Violate("mixed", record.ask, "the body is not the searcher's");
}

void PromiseLedger::CheckRefusal(Record& record, int status) {
  if (!PromisesNotRun(status) || record.ask.kind != AskKind::kPayment)
    return;
  record.refused = true;
  if (!record.runs.empty()) {
    Violate("refused", record.ask,
            "answered " + std::to_string(status) + " although it ran");
  }
}

void PromiseLedger::CheckVersion(const Record& record, int status) {
  const Ask& ask = record.ask;
  if (ask.kind != AskKind::kVersionProbe)
    return;
  Daemon& daemon = daemons_[ask.daemon];
  if (daemon.newest_version_process != ask.process) {
    daemon.newest_version_process = ask.process;
    daemon.newest_version = 0;
  }
  if (status == 200)
    daemon.newest_version = std::max(daemon.newest_version, ask.version);
  if (status != 404)
    return;
  if (ask.version <= daemon.newest_version)
    Violate("config", ask, "the configuration went back");
  if (ask.sent > versions_.at(ask.version) + kConfigApply &&
      IsCalm(ask.daemon, ask.sent))
    Violate(
        "config", ask,
        "version " + std::to_string(ask.version) + " is not in force in time");
}

// A connection may end without an answer when its daemon was disturbed, and
// when the close crosses a request that was not passed on.
void PromiseLedger::CheckCut(const Record& record, const AskOutcome& outcome) {
  const Ask& ask = record.ask;
  if (!outcome.written || record.runs.empty() || !IsCalm(ask.daemon, ask.sent))
    return;
  if (outcome.at < daemons_[ask.daemon].disturbed_until)
    return;
  bool stopping = daemons_[ask.daemon].terminated >= ask.sent - kContact;
  Violate("lost", ask,
          stopping ? "cut off by a graceful shutdown"
                   : "its connection ended without an answer");
}

void PromiseLedger::Violate(const std::string& rule,
                            const Ask& ask,
                            const std::string& what) {
  violations_.push_back(rule + ": request " + ask.id + " to daemon " +
                        std::to_string(ask.daemon) + " (" + ask.target +
                        "): " + what);
}

}  // namespace jujubecove::soak

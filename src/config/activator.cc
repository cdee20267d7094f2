#include "config/activator.h"

#include <algorithm>
#include <utility>

#include "document/document_text.h"

namespace jujubecove {

Activator::Activator(TimerService& timers,
                     Store& store,
                     std::vector<std::string> zones,
                     ActivatorOptions options)
    : timers_(timers),
      store_(store),
      zones_(std::move(zones)),
      options_(options) {}

Activator::~Activator() {
  timers_.Cancel(timer_);
}

void Activator::Apply(ApplyRequest request, Handler handler) {
  request_ = std::move(request);
  handler_ = std::move(handler);
  report_ = ApplyReport();
  ContentHash hash = HashOfText(request_.text);
  identity_ = VersionIdentity{ConfigVersion(), hash.fast, hash.sha256};
  activation_sent_ = false;
  base_text_.clear();
  Begin(&Activator::ReadActive);
}

void Activator::Begin(Step step) {
  step_started_ = timers_.Now();
  retries_ = 0;
  (this->*step)();
}

void Activator::Retry(Step step) {
  if (timers_.Now() - step_started_ >= options_.store_timeout) {
    // Only an activation that was sent can have had an effect.
    Finish(activation_sent_ ? ApplyOutcome::kUnknown : ApplyOutcome::kNowhere,
           "the store did not answer in time");
    return;
  }
  Duration delay =
      std::min(options_.first_retry * (1U << std::min(retries_, 10U)),
               options_.longest_retry);
  ++retries_;
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(delay, [this, step] { (this->*step)(); });
}

void Activator::Finish(ApplyOutcome outcome, const std::string& reason) {
  timers_.Cancel(timer_);
  report_.outcome = outcome;
  report_.reason = reason;
  report_.version = identity_.version;
  report_.zones.clear();
  for (const std::string& zone : zones_)
    report_.zones.push_back(ReportOf(zone));
  watches_.clear();
  // The handler may start the next change.
  Handler handler = std::move(handler_);
  ApplyReport report = report_;
  handler(report);
}

ZoneReport Activator::ReportOf(const std::string& zone) const {
  ZoneReport report;
  report.zone = zone;
  auto it = watches_.find(zone);
  if (it == watches_.end() || it->second->record() == nullptr)
    return report;
  const ZoneRecord& record = *it->second->record();
  report.reached = true;
  report.live = record.live;
  report.staged = record.staged;
  report.active = record.active;
  report.in_force = it->second->in_force();
  report.waiting = record.waiting;
  report.rejection = record.rejection;
  return report;
}

// Reads a key; a store that does not answer leads to `again`.
void Activator::ReadKey(const std::string& key,
                        Step again,
                        std::function<void(const StoreReply&)> handler) {
  std::weak_ptr<bool> alive = alive_;
  store_.Read(key, [this, alive, again,
                    handler = std::move(handler)](const StoreReply& reply) {
    if (alive.expired())
      return;
    if (reply.status == StoreStatus::kDone ||
        reply.status == StoreStatus::kNotFound)
      handler(reply);
    else
      Retry(again);
  });
}

void Activator::ReadActive() {
  ReadKey(kActiveKey, &Activator::ReadActive, [this](const StoreReply& reply) {
    active_revision_ = reply.revision;
    active_ = ActiveRecord();
    if (reply.status == StoreStatus::kDone) {
      std::optional<ActiveRecord> record = ParseActiveRecord(reply.value);
      if (!record) {
        Finish(ApplyOutcome::kNowhere,
               "the store's record of the active version is malformed");
        return;
      }
      active_ = std::move(*record);
    }
    report_.base = active_.active.version;
    if (request_.expected_base && *request_.expected_base != report_.base) {
      report_.conflict = true;
      Finish(ApplyOutcome::kNowhere,
             "version " + std::to_string(report_.base.value()) +
                 " is in force, but the change was made for version " +
                 std::to_string(request_.expected_base->value()));
      return;
    }
    Begin(&Activator::ReadProposal);
  });
}

void Activator::ReadProposal() {
  ReadKey(
      kProposalKey, &Activator::ReadProposal, [this](const StoreReply& reply) {
        proposal_revision_ = reply.revision;
        ConfigVersion newest = active_.active.version;
        std::optional<ProposalRecord> record = ParseProposalRecord(reply.value);
        // Daemons only follow a proposal that is newer than the last one.
        if (record)
          newest = std::max(newest, record->proposed.version);
        identity_.version = ConfigVersion(newest.value() + 1);
        Begin(&Activator::ReadBase);
      });
}

void Activator::ReadBase() {
  if (report_.base == ConfigVersion()) {
    Begin(&Activator::WriteDocument);
    return;
  }
  ReadKey(DocumentKey(report_.base), &Activator::ReadBase,
          [this](const StoreReply& reply) {
            base_text_ = reply.value;
            Begin(&Activator::WriteDocument);
          });
}

void Activator::WriteDocument() {
  std::weak_ptr<bool> alive = alive_;
  store_.CompareAndSwap(DocumentKey(identity_.version), StoreRevision(),
                        request_.text, [this, alive](const StoreReply& reply) {
                          if (!alive.expired())
                            OnDocumentWritten(reply);
                        });
}

void Activator::OnDocumentWritten(const StoreReply& reply) {
  if (reply.status == StoreStatus::kDone)
    Begin(&Activator::WriteProposal);
  else if (reply.status == StoreStatus::kConflict)
    CheckDocument();
  else
    Retry(&Activator::WriteDocument);
}

// The key exists: from this tool's own write, whose reply was lost, or from
// another operator. The number of a version belongs to its first text.
void Activator::CheckDocument() {
  ReadKey(DocumentKey(identity_.version), &Activator::CheckDocument,
          [this](const StoreReply& reply) {
            if (reply.value == request_.text) {
              Begin(&Activator::WriteProposal);
              return;
            }
            identity_.version = ConfigVersion(identity_.version.value() + 1);
            // Not Begin: a store full of foreign versions ends at the limit.
            Retry(&Activator::WriteDocument);
          });
}

void Activator::WriteProposal() {
  ProposalRecord record{identity_, report_.base, ""};
  if (!base_text_.empty())
    record.delta = MakeDelta(base_text_, request_.text);
  if (record.delta.size() > kMaxProposalDeltaBytes)
    record.delta.clear();
  std::weak_ptr<bool> alive = alive_;
  store_.CompareAndSwap(kProposalKey, proposal_revision_, FormatRecord(record),
                        [this, alive](const StoreReply& reply) {
                          if (alive.expired())
                            return;
                          if (reply.status == StoreStatus::kDone)
                            Begin(&Activator::WaitStaged);
                          else if (reply.status == StoreStatus::kConflict)
                            CheckProposal();
                          else
                            Retry(&Activator::WriteProposal);
                        });
}

void Activator::CheckProposal() {
  ReadKey(
      kProposalKey, &Activator::CheckProposal, [this](const StoreReply& reply) {
        std::optional<ProposalRecord> record = ParseProposalRecord(reply.value);
        proposal_revision_ = reply.revision;
        if (record && record->proposed == identity_) {
          Begin(&Activator::WaitStaged);
          return;
        }
        if (record && record->proposed.version >= identity_.version) {
          report_.conflict = true;
          Finish(ApplyOutcome::kNowhere,
                 "another change was proposed at the same time, as version " +
                     std::to_string(record->proposed.version.value()));
          return;
        }
        Retry(&Activator::WriteProposal);
      });
}

void Activator::WaitStaged() {
  for (const std::string& zone : zones_) {
    watches_[zone] =
        std::make_unique<ZoneWatch>(timers_, store_, zone, identity_.version);
  }
  CheckStaged();
}

void Activator::CheckStaged() {
  Duration waited = timers_.Now() - step_started_;
  bool silent_over = waited >= options_.silent_timeout;
  std::size_t complete = 0;
  std::size_t open = 0;
  for (const auto& [zone, watch] : watches_) {
    const ZoneRecord* record = watch->record();
    if (watch->all_staged()) {
      ++complete;
    } else if (record == nullptr) {
      open += silent_over ? 0 : 1;
    } else if (record->version > identity_.version) {
      report_.conflict = true;
      Finish(ApplyOutcome::kNowhere,
             "superseded by the proposal of version " +
                 std::to_string(record->version.value()));
      return;
    } else if (!record->rejection.empty()) {
      Finish(ApplyOutcome::kNowhere,
             "zone " + zone + " rejects the document: " + record->rejection);
      return;
    } else {
      ++open;
    }
  }
  bool over = waited >= options_.stage_timeout;
  bool enough = complete > 0 || request_.incomplete;
  if ((open == 0 && enough) || (over && request_.incomplete)) {
    Begin(&Activator::WriteActive);
    return;
  }
  if (over) {
    Finish(ApplyOutcome::kNowhere, complete + open == 0
                                       ? "no zone has reported"
                                       : "not every reachable daemon holds the "
                                         "document");
    return;
  }
  constexpr Duration kCheckInterval(50'000);
  timer_ = timers_.ScheduleAfter(kCheckInterval, [this] { CheckStaged(); });
}

void Activator::WriteActive() {
  ActiveRecord record{identity_, active_.history};
  if (active_.active.version != ConfigVersion())
    record.history.insert(
        record.history.begin(),
        PastVersion{active_.active.version, active_.active.hash});
  if (record.history.size() > kHistoryLength)
    record.history.resize(kHistoryLength);
  std::weak_ptr<bool> alive = alive_;
  store_.CompareAndSwap(kActiveKey, active_revision_, FormatRecord(record),
                        [this, alive](const StoreReply& reply) {
                          if (!alive.expired())
                            OnActiveWritten(reply);
                        });
}

void Activator::OnActiveWritten(const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kDone:
      Begin(&Activator::WaitInForce);
      return;
    case StoreStatus::kConflict:
      // Also after an earlier attempt of this tool that did take effect.
      ResolveActive();
      return;
    case StoreStatus::kUnknown:
      activation_sent_ = true;
      Retry(&Activator::ResolveActive);
      return;
    default:
      Retry(&Activator::WriteActive);
  }
}

// Finds out whether the version was activated. While the record is unchanged, a
// delayed write could still take effect, so the same write is repeated: exactly
// one of them can succeed, and both mean the same.
void Activator::ResolveActive() {
  ReadKey(kActiveKey, &Activator::ResolveActive,
          [this](const StoreReply& reply) {
            if (reply.revision == active_revision_) {
              Retry(&Activator::WriteActive);
              return;
            }
            std::optional<ActiveRecord> record = ParseActiveRecord(reply.value);
            if (!record) {
              Finish(ApplyOutcome::kUnknown,
                     "the store's record of the active version is malformed");
              return;
            }
            const std::vector<PastVersion>& history = record->history;
            PastVersion own{identity_.version, identity_.hash};
            bool listed =
                std::find(history.begin(), history.end(), own) != history.end();
            if (record->active == identity_ || listed) {
              report_.superseded = listed;
              Begin(&Activator::WaitInForce);
              return;
            }
            report_.conflict = true;
            // The history may be too short to tell.
            bool complete = history.size() < kHistoryLength ||
                            history.back().version < identity_.version;
            Finish(complete || !activation_sent_ ? ApplyOutcome::kNowhere
                                                 : ApplyOutcome::kUnknown,
                   "version " + std::to_string(record->active.version.value()) +
                       " was activated first");
          });
}

void Activator::WaitInForce() {
  CheckInForce();
}

void Activator::CheckInForce() {
  bool everywhere = true;
  for (const auto& [zone, watch] : watches_) {
    everywhere = everywhere && watch->in_force();
    const ZoneRecord* record = watch->record();
    if (record != nullptr && record->least_active > identity_.version)
      report_.superseded = true;
  }
  report_.everywhere = everywhere && !watches_.empty();
  if (report_.everywhere) {
    Finish(ApplyOutcome::kInForce, "");
    return;
  }
  if (timers_.Now() - step_started_ >= options_.confirm_timeout) {
    Finish(ApplyOutcome::kInForce,
           "activated, but not every zone has confirmed it");
    return;
  }
  constexpr Duration kCheckInterval(50'000);
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(kCheckInterval, [this] { CheckInForce(); });
}

}  // namespace jujubecove

#include "relay/relayed_kv_store.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// A reader that does not reply within this time after the wait of a poll has
// failed. Leaves room for a VM with a small part of a core.
constexpr Duration kReplySlack = milliseconds(500);
// The oldest view from which a reader answers, beyond the wait of its watches.
constexpr Duration kViewSlack = milliseconds(500);
constexpr Duration kMinWait = milliseconds(200);
constexpr Duration kFirstWatchDelay = milliseconds(1000);
constexpr int kMaxPolls = 2;
// Two readers report the end of one outage at different times.
constexpr Duration kSameOutage = std::chrono::seconds(1);

}  // namespace

RelayedKvStore::RelayedKvStore(TimerService& timers,
                               KvStore& store,
                               ReaderLink& link,
                               DecisionLog& log,
                               const Options& options)
    : timers_(timers),
      store_(store),
      link_(link),
      log_(log),
      options_(options),
      choice_(timers, options.choice),
      relay_(timers, options.reader_wait + kViewSlack) {}

void RelayedKvStore::Attach(FleetDirectory& fleet) {
  fleet.Subscribe([this, &fleet] { choice_.SetDaemons(fleet.daemons()); });
  choice_.SetDaemons(fleet.daemons());
}

Duration RelayedKvStore::WatchWait(Duration wait) const {
  if (!choice_.IsOwnReader())
    return wait;
  // The delay since the last answer counts towards the age of the view.
  return std::min(wait, std::max(options_.reader_wait - ViewAge(), kMinWait));
}

void RelayedKvStore::Range(const std::string& prefix,
                           const std::string& after,
                           std::function<void(KvPage)> done) {
  store_.Range(prefix, after, [this, done = std::move(done)](KvPage page) {
    // In a fleet that starts, one watch after this time shows the readers,
    // where several would report the first registrations.
    if (options_.choice.min_daemons > 0 && !choice_.HasReaders())
      page.batch_delay = kFirstWatchDelay;
    done(std::move(page));
  });
}

void RelayedKvStore::Watch(const std::string& prefix,
                           StorePosition after,
                           Duration wait,
                           std::function<void(KvPage)> done) {
  if (!prefix.empty()) {
    store_.Watch(prefix, after, wait, std::move(done));
    return;
  }
  UpdateRole();
  if (!choice_.HasReaders()) {
    SetSource(VmId(), "the zone has no readers");
    WatchStore(after, wait, Duration(0), std::move(done));
    return;
  }
  if (is_reader_) {
    SetSource(VmId(), "this daemon is a reader");
    WatchStore(after, WatchWait(wait), Duration(0), std::move(done));
    return;
  }
  FollowingPtr watch = std::make_shared<Following>();
  watch->after = after;
  watch->wait = wait;
  watch->started = timers_.Now();
  watch->done = std::move(done);
  AskReader(watch);
}

void RelayedKvStore::WatchStore(StorePosition after,
                                Duration wait,
                                Duration outage,
                                std::function<void(KvPage)> done) {
  ++stats_.store_watches;
  relay_.OnWatchStarted();
  TimePoint due = timers_.Now() + wait;
  store_.Watch("", after, wait,
               [this, after, due, outage, done = std::move(done)](KvPage page) {
                 if (page.status == KvStatus::kOk)
                   last_answer_ = timers_.Now();
                 page.outage = outage;
                 // As long as the view is fresh enough for other daemons.
                 if (is_reader_)
                   page.batch_delay = options_.reader_wait;
                 KvPage copy = page;
                 // The end of an outage is noted before other daemons get the
                 // changes.
                 done(std::move(copy));
                 // This answer may have shown that the zone has readers.
                 if (choice_.HasReaders())
                   relay_.OnWatchFinished(after, due, page);
               });
}

void RelayedKvStore::AskReader(const FollowingPtr& watch) {
  std::vector<DaemonEntry> candidates = choice_.Candidates();
  if (candidates.empty() || watch->polls == kMaxPolls) {
    FallBack(watch, "no reader follows the store");
    return;
  }
  ++watch->polls;
  relay_.OnWatchStopped();
  const DaemonEntry& reader = candidates.front();
  ChangesQuery query{.after = watch->after, .wait = Duration(0)};
  if (choice_.IsProven(reader.vm))
    query.wait = std::min(watch->wait, options_.poll_wait);
  link_.Poll(reader, query, query.wait + kReplySlack,
             [this, watch, vm = reader.vm](std::optional<ChangesReply> reply) {
               OnReply(watch, vm, std::move(reply));
             });
}

void RelayedKvStore::OnReply(const FollowingPtr& watch,
                             const VmId& reader,
                             std::optional<ChangesReply> reply) {
  if (!reply) {
    ++stats_.readers_unanswered;
    choice_.OnNoAnswer(reader);
    AskReader(watch);
    return;
  }
  if (reply->state == ViewState::kStale) {
    ++stats_.readers_declined;
    choice_.OnDeclined(reader);
    watch->outage = std::max(watch->outage, reply->outage);
    AskReader(watch);
    return;
  }
  choice_.OnCurrent(reader);
  if (reply->state == ViewState::kNoHistory) {
    ++stats_.readers_without_history;
    FallBack(watch, "the reader does not remember the changes");
    return;
  }
  ++stats_.reader_answers;
  last_answer_ = timers_.Now();
  SetSource(reader, "");
  watch->done(ToPage(std::move(*reply)));
}

KvPage RelayedKvStore::ToPage(ChangesReply reply) {
  KvPage page;
  page.status = KvStatus::kOk;
  // The reader has collected the changes.
  page.batch_delay = Duration(0);
  page.outage = NewOutage(reply);
  page.era = reply.current.era;
  page.current_revision = reply.current.revision;
  page.items = std::move(reply.items);
  return page;
}

Duration RelayedKvStore::NewOutage(const ChangesReply& reply) {
  TimePoint end = timers_.Now() - reply.since_outage;
  if (reply.outage == Duration(0) || end - known_outage_end_ < kSameOutage)
    return Duration(0);
  known_outage_end_ = end;
  return reply.outage;
}

void RelayedKvStore::FallBack(const FollowingPtr& watch, const char* reason) {
  SetSource(VmId(), reason);
  Duration wait = std::min(
      watch->wait,
      std::max(watch->started + watch->wait - timers_.Now(), kMinWait));
  WatchStore(watch->after, wait, watch->outage, std::move(watch->done));
}

void RelayedKvStore::UpdateRole() {
  bool is_reader = choice_.IsOwnReader();
  if (is_reader == is_reader_)
    return;
  is_reader_ = is_reader;
  DecisionLine(log_, LogCategory::kStore, DecisionPriority::kStateChange,
               is_reader ? "store_reader_started" : "store_reader_stopped",
               timers_.Now())
      .Add("zone_daemons", choice_.zone_size());
}

void RelayedKvStore::SetSource(const VmId& source, const char* reason) {
  if (source == source_)
    return;
  source_ = source;
  DecisionLine line(log_, LogCategory::kStore, DecisionPriority::kStateChange,
                    "store_source", timers_.Now());
  line.Add("source", source.value().empty() ? "store" : source.value());
  if (source.value().empty())
    line.Add("reason", reason);
}

}  // namespace jujubecove

#include "discovery/store_watcher.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Exponential backoff of failed calls, with jitter down to half of the delay.
constexpr Duration kInitialBackoff = milliseconds(50);
constexpr Duration kMaxBackoff = milliseconds(800);
constexpr int kMaxDoublings = 4;
// Changes come in bursts, such as when searchers start. A delay after a change
// batches those that follow into one call, since every call has a cost. It
// grows with the fleet, since each daemon makes the same calls, but is limited
// because changes have to be in force within 3 s.
constexpr Duration kMinBatchDelay = milliseconds(300);
constexpr Duration kBatchDelayPerDaemon = milliseconds(30);
constexpr Duration kMaxBatchDelay = milliseconds(1000);
// A watch waits at least this long, even if the batch delay takes most of its
// time.
constexpr Duration kMinWatchWait = milliseconds(200);
// The shortest wait of a watch: it is answered at once.
constexpr Duration kProbeWait = milliseconds(1);

const char* ReasonOf(KvStatus status, bool was_waiting) {
  if (status == KvStatus::kRefused)
    return "refused by the store";
  return was_waiting ? "the watch was cut" : "no answer";
}

}  // namespace

StoreWatcher::StoreWatcher(TimerService& timers,
                           KvStore& store,
                           StoreWatchListener& listener,
                           std::string prefix,
                           Duration watch_wait,
                           std::uint64_t seed)
    : timers_(timers),
      store_(store),
      listener_(listener),
      prefix_(std::move(prefix)),
      watch_wait_(watch_wait),
      random_(seed) {}

void StoreWatcher::Start() {
  last_success_ = timers_.Now();
  List();
}

void StoreWatcher::List() {
  listing_revision_ = StoreRevision{};
  ReadPage("");
}

void StoreWatcher::OnEra(StoreEra era) {
  if (listed_ && era > latest_era_)
    Restart();
  latest_era_ = std::max(latest_era_, era);
}

void StoreWatcher::Restart() {
  ++generation_;
  List();
}

void StoreWatcher::ReadPage(const std::string& after) {
  StartCall(Duration(0));
  store_.Range(prefix_, after,
               [this, after, generation = generation_](KvPage page) {
                 if (generation == generation_)
                   OnPage(after, std::move(page));
               });
}

void StoreWatcher::OnPage(const std::string& after, KvPage page) {
  if (page.status != KvStatus::kOk) {
    OnFailure(page, &StoreWatcher::List);
    return;
  }
  OnSuccess(page);
  if (after.empty()) {
    OnFirstPage(page);
  } else if (page.era != era_) {
    Restart();
    return;
  }
  for (const KvItem& it : page.items)
    Apply(it);
  if (page.has_more && !page.items.empty()) {
    ReadPage(page.items.back().key);
    return;
  }
  EndListing(page.batch_delay.value_or(Duration(0)));
}

void StoreWatcher::OnFirstPage(const KvPage& page) {
  bool restored = listed_ && page.era > era_;
  era_ = page.era;
  latest_era_ = std::max(latest_era_, era_);
  listing_revision_ = page.current_revision;
  applied_revisions_.clear();
  if (restored)
    listener_.OnStoreRestored(era_);
  listener_.OnListingBegin();
}

void StoreWatcher::EndListing(Duration delay) {
  watch_revision_ = listing_revision_;
  listed_ = true;
  listener_.OnListingEnd();
  WatchAfter(delay);
}

void StoreWatcher::Watch() {
  WatchFor(connected_ ? watch_wait_ : kProbeWait);
}

void StoreWatcher::WatchFor(Duration wait) {
  StartCall(store_.WatchWait(wait));
  store_.Watch(prefix_, {.era = era_, .revision = watch_revision_}, wait,
               [this, generation = generation_](KvPage page) {
                 if (generation == generation_)
                   OnEvents(std::move(page));
               });
}

void StoreWatcher::OnEvents(KvPage page) {
  if (page.era > era_) {
    // Nothing in this answer continues what is known.
    latest_era_ = std::max(latest_era_, page.era);
    Restart();
    return;
  }
  if (page.status == KvStatus::kCompacted) {
    ++calls_.compacted;
    OnSuccess(page);
    List();
    return;
  }
  if (page.status != KvStatus::kOk) {
    OnFailure(page, &StoreWatcher::Watch);
    return;
  }
  OnSuccess(page);
  if (page.era != era_) {
    Restart();
    return;
  }
  for (const KvItem& it : page.items)
    Apply(it);
  watch_revision_ = std::max(watch_revision_, page.current_revision);
  if (page.items.empty()) {
    Watch();
    return;
  }
  WatchAfter(page.batch_delay.value_or(BatchDelay()));
}

void StoreWatcher::WatchAfter(Duration delay) {
  if (delay == Duration(0)) {
    Watch();
    return;
  }
  // The delay counts towards the time in which a silent connection is detected.
  Duration wait = std::max(watch_wait_ - delay, kMinWatchWait);
  timers_.ScheduleAfter(delay, [this, wait, generation = generation_] {
    if (generation == generation_)
      WatchFor(wait);
  });
}

Duration StoreWatcher::BatchDelay() const {
  return std::clamp(kBatchDelayPerDaemon * fleet_size_, kMinBatchDelay,
                    kMaxBatchDelay);
}

void StoreWatcher::Apply(const KvItem& item) {
  StoreRevision& known = applied_revisions_[item.key];
  if (item.revision < known)
    return;
  known = item.revision;
  listener_.OnItem(item);
  if (item.removed)
    applied_revisions_.erase(item.key);
}

void StoreWatcher::StartCall(Duration wait) {
  call_started_ = timers_.Now();
  answer_due_ = call_started_ + wait;
}

void StoreWatcher::OnSuccess(const KvPage& page) {
  ++calls_.served;
  Duration outage = page.outage;
  if (was_disconnected_) {
    was_disconnected_ = false;
    outage = std::max(outage, timers_.Now() - outage_started_);
  }
  if (outage > Duration(0))
    listener_.OnStoreReconnected(outage);
  connected_ = true;
  consecutive_failures_ = 0;
  last_success_ = timers_.Now();
}

void StoreWatcher::OnFailure(const KvPage& page,
                             void (StoreWatcher::*retry)()) {
  if (page.status == KvStatus::kRefused)
    ++calls_.refused;
  else
    ++calls_.unanswered;
  if (connected_) {
    connected_ = false;
    was_disconnected_ = true;
    // A store that ends a watch which still had to wait was serving it.
    // Otherwise it may have stopped at any time since its last answer.
    TimePoint now = timers_.Now();
    bool was_waiting = page.sent && now < answer_due_;
    outage_started_ = was_waiting ? now : last_success_;
    listener_.OnStoreDisconnected(ReasonOf(page.status, was_waiting));
  }
  Duration delay = std::min(
      kInitialBackoff * (1 << std::min(consecutive_failures_, kMaxDoublings)),
      kMaxBackoff);
  ++consecutive_failures_;
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(delay.count()) * jitter(random_)));
  // The duration of the failed call counts towards the delay.
  TimePoint next = std::max(call_started_ + delay, timers_.Now());
  timers_.ScheduleAt(next, [this, retry, generation = generation_] {
    if (generation == generation_)
      (this->*retry)();
  });
}

}  // namespace jujubecove

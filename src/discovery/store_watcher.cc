#include "discovery/store_watcher.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Delay before a failed call is repeated: doubles from the first to the
// longest, with a random half.
constexpr Duration kFirstBackoff = milliseconds(50);
constexpr Duration kLongestBackoff = milliseconds(800);
constexpr int kMaxDoublings = 4;
// Changes come in bursts, such as when searchers start. Waiting after some lets
// one call return those that follow; every call has its price. The delay grows
// with the fleet, since each daemon makes the same calls, up to a part of the
// seconds in which a change has to be in force.
constexpr Duration kLeastBatchDelay = milliseconds(300);
constexpr Duration kBatchDelayPerDaemon = milliseconds(30);
constexpr Duration kLongestBatchDelay = milliseconds(1000);
// A watch waits at least so long, also when its delay takes most of its time.
constexpr Duration kLeastWait = milliseconds(200);

const char* ReasonOf(KvStatus status) {
  return status == KvStatus::kRefused ? "refused by the store" : "no answer";
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
  called_at_ = timers_.Now();
  store_.Range(prefix_, "",
               [this](KvPage page) { OnPage("", std::move(page)); });
}

void StoreWatcher::OnPage(const std::string& after, KvPage page) {
  if (page.status != KvStatus::kOk) {
    OnFailure(page.status, &StoreWatcher::List);
    return;
  }
  OnSuccess();
  if (after.empty()) {
    listing_revision_ = page.current_revision;
    revisions_.clear();
    listener_.OnListingBegin();
  }
  for (const KvItem& it : page.items)
    Apply(it);
  if (page.has_more && !page.items.empty()) {
    std::string last = page.items.back().key;
    called_at_ = timers_.Now();
    store_.Range(prefix_, last,
                 [this, last](KvPage next) { OnPage(last, std::move(next)); });
    return;
  }
  EndListing();
}

void StoreWatcher::EndListing() {
  position_ = listing_revision_;
  listed_ = true;
  listener_.OnListingEnd();
  Watch();
}

void StoreWatcher::Watch() {
  WatchFor(watch_wait_);
}

void StoreWatcher::WatchFor(Duration wait) {
  called_at_ = timers_.Now();
  store_.Watch(prefix_, position_, wait,
               [this](KvPage page) { OnEvents(std::move(page)); });
}

void StoreWatcher::OnEvents(KvPage page) {
  if (page.status == KvStatus::kCompacted) {
    ++calls_.compacted;
    OnSuccess();
    List();
    return;
  }
  if (page.status != KvStatus::kOk) {
    OnFailure(page.status, &StoreWatcher::Watch);
    return;
  }
  OnSuccess();
  for (const KvItem& it : page.items)
    Apply(it);
  position_ = std::max(position_, page.current_revision);
  if (page.items.empty()) {
    Watch();
    return;
  }
  // The delay is part of the time in which a silent connection is noticed.
  Duration delay = BatchDelay();
  Duration wait = std::max(watch_wait_ - delay, kLeastWait);
  timers_.ScheduleAfter(delay, [this, wait] { WatchFor(wait); });
}

Duration StoreWatcher::BatchDelay() const {
  return std::clamp(kBatchDelayPerDaemon * fleet_size_, kLeastBatchDelay,
                    kLongestBatchDelay);
}

void StoreWatcher::Apply(const KvItem& item) {
  StoreRevision& known = revisions_[item.key];
  if (item.revision < known)
    return;
  known = item.revision;
  listener_.OnItem(item);
  if (item.removed)
    revisions_.erase(item.key);
}

void StoreWatcher::OnSuccess() {
  ++calls_.served;
  TimePoint now = timers_.Now();
  if (was_lost_) {
    was_lost_ = false;
    listener_.OnStoreRegained(now - last_success_);
  }
  connected_ = true;
  failures_ = 0;
  last_success_ = now;
}

void StoreWatcher::OnFailure(KvStatus status, void (StoreWatcher::*retry)()) {
  if (status == KvStatus::kRefused)
    ++calls_.refused;
  else
    ++calls_.unanswered;
  if (connected_) {
    connected_ = false;
    was_lost_ = true;
    listener_.OnStoreLost(ReasonOf(status));
  }
  Duration delay =
      std::min(kFirstBackoff * (1 << std::min(failures_, kMaxDoublings)),
               kLongestBackoff);
  ++failures_;
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(delay.count()) * jitter(random_)));
  // The time that the call took without an answer is part of the delay.
  TimePoint next = std::max(called_at_ + delay, timers_.Now());
  timers_.ScheduleAt(next, [this, retry] { (this->*retry)(); });
}

}  // namespace jujubecove

#include "tests/standin/fake_kv_store.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

constexpr Duration kCallLatency = std::chrono::milliseconds(4);

}  // namespace

void FakeKvStore::ScheduleReply(std::function<void()> reply) {
  ++calls_;
  timers_.ScheduleAfter(kCallLatency, std::move(reply));
}

void FakeKvStore::Range(const std::string& prefix,
                        const std::string& after,
                        std::function<void(KvPage)> done) {
  ScheduleReply([this, prefix, after, done = std::move(done)] {
    KvPage page;
    page.status = call_status_;
    page.era = era();
    if (call_status_ == KvStatus::kOk) {
      if (!after.empty() && before_second_page_)
        std::exchange(before_second_page_, nullptr)();
      page.current_revision = StoreRevision(revision_);
      for (auto it = items_.upper_bound(after.empty() ? prefix : after);
           it != items_.end() && it->first.starts_with(prefix); ++it) {
        if (page.items.size() == page_size_) {
          page.has_more = true;
          break;
        }
        page.items.push_back(it->second);
      }
    }
    done(std::move(page));
  });
}

KvPage FakeKvStore::EventsAfter(const std::string& prefix,
                                StoreRevision after) const {
  KvPage page;
  page.status = KvStatus::kOk;
  page.era = era();
  page.current_revision = StoreRevision(revision_);
  if (after.value() < compacted_revision_ || after.value() > revision_) {
    page.status = KvStatus::kCompacted;
    return page;
  }
  std::size_t bytes = 0;
  for (const KvItem& it : history_) {
    if (it.revision <= after || !it.key.starts_with(prefix))
      continue;
    page.items.push_back(it);
    bytes += it.value.size();
  }
  if (bytes > max_watch_bytes_)
    return KvPage{.status = KvStatus::kTooLarge};
  return page;
}

void FakeKvStore::Watch(const std::string& prefix,
                        StorePosition after,
                        Duration wait,
                        std::function<void(KvPage)> done) {
  ++calls_;
  last_watch_wait_ = wait;
  bool lost = watch_loss_timeout_ > Duration(0);
  if (lost || call_status_ != KvStatus::kOk) {
    Duration time = lost ? watch_loss_timeout_ : kCallLatency;
    KvStatus status = lost ? KvStatus::kUnknown : call_status_;
    timers_.ScheduleAfter(time, [status, done] {
      KvPage page;
      page.status = status;
      done(std::move(page));
    });
    return;
  }
  bool is_cut = watch_cut_after_ > Duration(0) && watch_cut_after_ < wait;
  TimePoint until = timers_.Now() + (is_cut ? watch_cut_after_ : wait);
  pending_watches_.push_back(
      {prefix, after.revision, until, is_cut, std::move(done)});
  timers_.ScheduleAt(until, [this] { AnswerWatches(); });
  timers_.ScheduleAfter(kCallLatency, [this] { AnswerWatches(); });
}

void FakeKvStore::AnswerWatches() {
  std::vector<PendingWatch> watches = std::move(pending_watches_);
  pending_watches_.clear();
  for (PendingWatch& it : watches) {
    KvPage page = EventsAfter(it.prefix, it.after);
    if (call_status_ != KvStatus::kOk)
      page = KvPage{.status = call_status_,
                    .items = {},
                    .era = era(),
                    .current_revision = {}};
    bool has_expired = timers_.Now() >= it.until;
    if (has_expired && it.is_cut && page.items.empty())
      page.status = KvStatus::kUnknown;
    if (page.status == KvStatus::kOk && page.items.empty() && !has_expired)
      pending_watches_.push_back(std::move(it));
    else
      it.done(std::move(page));
  }
}

KvWriteResult FakeKvStore::Apply(KvItem item) {
  item.revision = StoreRevision(++revision_);
  history_.push_back(item);
  if (item.removed)
    items_.erase(item.key);
  else
    items_[item.key] = item;
  AnswerWatches();
  return KvWriteResult{KvStatus::kOk, item.revision, era()};
}

void FakeKvStore::Put(const std::string& key,
                      const std::string& value,
                      StoreLease lease,
                      std::function<void(KvWriteResult)> done) {
  ScheduleReply([this, key, value, lease, done = std::move(done)] {
    if (call_status_ != KvStatus::kOk)
      done(KvWriteResult{call_status_, {}, era()});
    else if (lease.value() > last_lease_)
      done(KvWriteResult{KvStatus::kNotFound, {}, era()});
    else
      done(Apply({key, value, {}, false}));
  });
}

void FakeKvStore::Delete(const std::string& key,
                         std::function<void(KvWriteResult)> done) {
  ScheduleReply([this, key, done = std::move(done)] {
    if (call_status_ != KvStatus::kOk)
      done(KvWriteResult{call_status_, {}, era()});
    else
      done(Apply({key, "", {}, true}));
  });
}

void FakeKvStore::GrantLease(Duration,
                             std::function<void(KvLeaseResult)> done) {
  ScheduleReply([this, done = std::move(done)] {
    if (call_status_ != KvStatus::kOk)
      done(KvLeaseResult{call_status_, {}, era()});
    else
      done(KvLeaseResult{KvStatus::kOk, StoreLease(++last_lease_), era()});
  });
}

void FakeKvStore::RenewLease(StoreLease lease,
                             std::function<void(KvLeaseResult)> done) {
  ScheduleReply([this, lease, done = std::move(done)] {
    bool is_known = lease.value() <= last_lease_;
    KvStatus status = call_status_ == KvStatus::kOk && !is_known
                          ? KvStatus::kNotFound
                          : call_status_;
    done(KvLeaseResult{status, lease, era()});
  });
}

void FakeKvStore::TakeCopy() {
  copy_ = {items_, history_, revision_, last_lease_};
}

void FakeKvStore::RestoreCopy() {
  items_ = copy_.items;
  history_ = copy_.history;
  revision_ = copy_.revision;
  last_lease_ = copy_.last_lease;
  compacted_revision_ = std::min(compacted_revision_, revision_);
  ++era_;
  AnswerWatches();
}

void FakeKvStore::Set(const std::string& key, const std::string& value) {
  Apply({key, value, {}, false});
}

void FakeKvStore::Remove(const std::string& key) {
  Apply({key, "", {}, true});
}

}  // namespace jujubecove

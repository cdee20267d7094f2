#include "discovery/store_watcher.h"

#include <gtest/gtest.h>

#include <map>

#include "kernel/fake_timer_service.h"
#include "tests/standin/fake_kv_store.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Keeps what the mirror says.
class Recorder : public StoreWatchListener {
 public:
  void OnListingBegin() override {
    ++listings_;
    items_.clear();
  }
  void OnListingEnd() override {}
  void OnItem(const KvItem& item) override {
    if (item.removed)
      items_.erase(item.key);
    else
      items_[item.key] = item.value;
  }
  void OnStoreLost(const std::string&) override { ++lost_; }
  void OnStoreRegained(Duration outage) override { outage_ = outage; }

  int listings_ = 0;
  int lost_ = 0;
  Duration outage_{};
  std::map<std::string, std::string> items_;
};

class StoreMirrorTest : public testing::Test {
 protected:
  StoreMirrorTest()
      : store_(timers_),
        mirror_(timers_, store_, recorder_, "", milliseconds(2500), 1) {}

  FakeTimerService timers_;
  FakeKvStore store_;
  Recorder recorder_;
  StoreWatcher mirror_;
};

TEST_F(StoreMirrorTest, FollowsChanges) {
  store_.Set("a", "1");
  mirror_.Start();
  timers_.AdvanceBy(milliseconds(100));
  store_.Set("a", "2");
  store_.Set("b", "1");
  timers_.AdvanceBy(milliseconds(100));
  EXPECT_EQ(recorder_.items_["a"], "2");
  timers_.AdvanceBy(seconds(1));
  EXPECT_EQ(recorder_.items_["b"], "1");
  store_.Remove("a");
  timers_.AdvanceBy(seconds(1));
  EXPECT_FALSE(recorder_.items_.contains("a"));
}

// Guards against a change that falls between two pages of a listing.
TEST_F(StoreMirrorTest, AChangeBetweenPagesIsNotLost) {
  store_.Set("a", "1");
  store_.Set("b", "1");
  store_.Set("c", "1");
  store_.set_page_size(2);
  store_.set_between_pages([this] {
    store_.Set("a", "2");
    store_.Set("c", "2");
    store_.Remove("b");
  });
  mirror_.Start();
  timers_.AdvanceBy(seconds(1));
  EXPECT_EQ(recorder_.items_["a"], "2");
  EXPECT_EQ(recorder_.items_["c"], "2");
  EXPECT_FALSE(recorder_.items_.contains("b"));
}

// Guards against stale knowledge when the store drops its history.
TEST_F(StoreMirrorTest, ListsAgainWhenTheHistoryIsGone) {
  mirror_.Start();
  timers_.AdvanceBy(milliseconds(100));
  store_.set_failure(KvStatus::kRefused);
  timers_.AdvanceBy(seconds(5));
  store_.Set("a", "1");
  store_.Compact();
  store_.set_failure(KvStatus::kOk);
  timers_.AdvanceBy(seconds(3));
  EXPECT_EQ(recorder_.items_["a"], "1");
  EXPECT_EQ(recorder_.listings_, 2);
}

// Guards against lost outages, and against calls without pause meanwhile.
TEST_F(StoreMirrorTest, BacksOffDuringAnOutage) {
  mirror_.Start();
  timers_.AdvanceBy(seconds(1));
  int before = store_.calls();
  store_.set_failure(KvStatus::kUnknown);
  timers_.AdvanceBy(seconds(10));
  EXPECT_LT(store_.calls() - before, 30);
  EXPECT_GT(store_.calls() - before, 8);
  EXPECT_EQ(recorder_.lost_, 1);
  store_.set_failure(KvStatus::kOk);
  timers_.AdvanceBy(seconds(4));
  EXPECT_TRUE(mirror_.is_connected());
  EXPECT_GT(recorder_.outage_, seconds(7));
  EXPECT_EQ(recorder_.listings_, 1);
}

// Guards against one call for each of the changes of a burst.
// Guards against a delay on top of the time in which a silent connection is
// noticed: after refusals it took 4.6 s until a daemon followed the store
// again, 4 s allowed (soak, seed 31).
TEST_F(StoreMirrorTest, AfterASilentCallTheNextOneFollowsAtOnce) {
  mirror_.Start();
  timers_.AdvanceBy(seconds(1));
  store_.set_failure(KvStatus::kRefused);
  timers_.AdvanceBy(seconds(10));
  store_.set_failure(KvStatus::kOk);
  store_.set_watches_lost_after(milliseconds(3500));
  int calls = store_.calls();
  while (store_.calls() == calls)
    timers_.AdvanceBy(milliseconds(10));
  store_.set_watches_lost_after(Duration(0));
  store_.Set("a", "1");
  timers_.AdvanceBy(milliseconds(3520));
  EXPECT_EQ(recorder_.items_["a"], "1");
}

// Guards against a delay between two watches that is not part of the time in
// which a silent connection is noticed: it took 4.1 s, 4 s allowed (soak, seed
// 21), and up to a second longer in a large fleet.
TEST_F(StoreMirrorTest, TheDelayAfterAChangeShortensTheNextWatch) {
  mirror_.Start();
  timers_.AdvanceBy(milliseconds(100));
  EXPECT_EQ(store_.watch_wait(), milliseconds(2500));
  mirror_.set_fleet_size(30);
  store_.Set("a", "1");
  int calls = store_.calls();
  TimePoint changed = timers_.Now();
  while (store_.calls() == calls)
    timers_.AdvanceBy(milliseconds(10));
  EXPECT_LE(timers_.Now() - changed + store_.watch_wait(), milliseconds(2520));
  // A quiet store is watched as long as before.
  timers_.AdvanceBy(milliseconds(2600));
  EXPECT_EQ(store_.watch_wait(), milliseconds(2500));
}

TEST_F(StoreMirrorTest, ABurstOfChangesTakesFewCalls) {
  mirror_.Start();
  timers_.AdvanceBy(milliseconds(100));
  int before = store_.calls();
  for (int n = 0; n < 100; ++n) {
    store_.Set("key" + std::to_string(n), "1");
    timers_.AdvanceBy(milliseconds(10));
  }
  timers_.AdvanceBy(milliseconds(350));
  EXPECT_EQ(recorder_.items_.size(), 100U);
  EXPECT_LE(store_.calls() - before, 8);
}

// Guards against calls that grow with the fleet, and against changes that a
// large fleet learns of too late: they have to be in force within 3 s.
TEST_F(StoreMirrorTest, ALargeFleetWaitsLongerButNotTooLong) {
  mirror_.set_fleet_size(4000);
  mirror_.Start();
  timers_.AdvanceBy(milliseconds(100));
  int before = store_.calls();
  for (int n = 0; n < 30; ++n) {
    store_.Set("key" + std::to_string(n), "1");
    timers_.AdvanceBy(milliseconds(100));
  }
  EXPECT_LE(store_.calls() - before, 4);
  timers_.AdvanceBy(milliseconds(1100));
  EXPECT_EQ(recorder_.items_.size(), 30U);
}

}  // namespace
}  // namespace jujubecove

#include "discovery/discovery_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <set>
#include <string>

#include "kernel/fake_timer_service.h"
#include "platform/registration_codec.h"
#include "tests/standin/fake_kv_store.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Within this time a searcher that has left gets nothing new.
constexpr Duration kMaxTimeToRemove = seconds(2);
// The store is stable when it has served for this long.
constexpr Duration kStableAfter = seconds(4);

class DiscoveryClientTest : public testing::Test {
 protected:
  DiscoveryClientTest()
      : store_(timers_),
        sink_(STDOUT_FILENO, 1U << 16U),
        log_(sink_, "own", 0),
        discovery_(
            timers_,
            store_,
            codec_,
            log_,
            {{VmId("own"), ZoneName("zone")}, milliseconds(2500), 1},
            {.table_changed =
                 [this](const RouteTablePtr& table) {
                   versions_.push_back(table->version().value());
                 },
             .searcher_changed =
                 [this](SearcherChange change, const SearcherEntry& entry) {
                   OnChange(change, entry.id.value());
                 },
             .fleet_size_changed = [](int) {}}) {}

  void OnChange(SearcherChange change, const std::string& id) {
    if (change == SearcherChange::kAdded)
      in_use_.insert(id);
    else if (change != SearcherChange::kUpdated)
      in_use_.erase(id);
  }
  void Register(const std::string& id) {
    store_.Set("servers/" + id, R"({"Service": "s", "Address": "10.0.0.1:80",
        "Zone": "zone", "Version": "v1", "Slots": 4, "State": "ready",
        "WarmupLeftMs": 0, "Sequence": 1, "born": 1000})");
  }
  void Configure(int version) {
    store_.Set("op/config", R"({"Version": )" + std::to_string(version) +
                                R"(, "Routes": [], "Services": [], "Limits": {
                     "MaxHeaderBytes": 8192, "MaxBodyBytes": 1000,
                     "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 5000}})");
  }
  void Start() {
    discovery_.Start();
    timers_.AdvanceBy(seconds(1));
  }
  // Removes the registration and returns how long the searcher stays in use.
  Duration MeasureRemoval(const std::string& id) {
    TimePoint removed_at = timers_.Now();
    store_.Remove("servers/" + id);
    while (in_use_.contains(id) &&
           timers_.Now() - removed_at < 2 * kMaxTimeToRemove)
      timers_.AdvanceBy(milliseconds(10));
    return timers_.Now() - removed_at;
  }

  FakeTimerService timers_;
  FakeKvStore store_;
  platform::PlatformRegistrationCodec codec_;
  LineSink sink_;
  DecisionLog log_;
  std::set<std::string> in_use_;
  std::vector<std::uint64_t> versions_;
  DiscoveryClient discovery_;
};

// Guards against new work for searchers that are gone when the store cuts
// watches: the time between two changes was taken for an outage of the store.
TEST_F(DiscoveryClientTest, RemovesSearchersAtOnceWhileWatchesAreCut) {
  for (int n = 0; n < 8; ++n)
    Register("old" + std::to_string(n));
  Start();
  store_.set_watch_cut_after(seconds(1));
  timers_.AdvanceBy(seconds(5));
  for (int n = 0; n < 8; ++n) {
    Register("new" + std::to_string(n));
    EXPECT_LE(MeasureRemoval("old" + std::to_string(n)), kMaxTimeToRemove) << n;
    timers_.AdvanceBy(seconds(2));
  }
  EXPECT_EQ(in_use_.size(), 8U);
}

// Guards against an empty pool after an outage of the store in which
// registrations expire, also if the outage began with a watch that was cut.
TEST_F(DiscoveryClientTest, KeepsSearchersThatExpiredInOutage) {
  Register("back");
  Register("lost");
  Start();
  store_.set_watch_cut_after(seconds(1));
  timers_.AdvanceBy(seconds(5));
  store_.set_call_status(KvStatus::kUnknown);
  timers_.AdvanceBy(seconds(5));
  store_.Remove("servers/back");
  store_.Remove("servers/lost");
  store_.set_call_status(KvStatus::kOk);
  timers_.AdvanceBy(milliseconds(1900));
  EXPECT_EQ(in_use_.size(), 2U);
  Register("back");
  timers_.AdvanceBy(seconds(2));
  EXPECT_EQ(in_use_, std::set<std::string>{"back"});
}

// Guards against removals that are deferred while the store is stable again.
TEST_F(DiscoveryClientTest, RemovesSearchersAtOnceOnceStoreIsStable) {
  Register("old");
  Start();
  store_.set_call_status(KvStatus::kUnknown);
  timers_.AdvanceBy(seconds(5));
  store_.set_call_status(KvStatus::kOk);
  timers_.AdvanceBy(kStableAfter);
  store_.set_watch_cut_after(milliseconds(700));
  for (int n = 0; n < 8; ++n) {
    Register("new");
    timers_.AdvanceBy(milliseconds(1800));
  }
  EXPECT_LE(MeasureRemoval("old"), kMaxTimeToRemove);
}

// Guards against a configuration that goes back because the store came back
// from a copy with an older one, or with none.
TEST_F(DiscoveryClientTest, RestoredStoreNeverTakesConfigurationBack) {
  store_.TakeCopy();
  Configure(1);
  Start();
  store_.RestoreCopy();
  timers_.AdvanceBy(seconds(5));
  EXPECT_TRUE(discovery_.IsSynced());
  Configure(2);
  timers_.AdvanceBy(seconds(2));
  store_.TakeCopy();
  Configure(5);
  timers_.AdvanceBy(seconds(2));
  store_.RestoreCopy();
  timers_.AdvanceBy(seconds(5));
  Configure(5);
  Configure(7);
  timers_.AdvanceBy(seconds(2));
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 2, 5, 7}));
}

// Guards against an empty pool because a restored store lacks searchers that
// write their registrations again, and against daemons that it lacks.
TEST_F(DiscoveryClientTest, RestoredStoreGivesMissingSearchersTime) {
  store_.TakeCopy();
  Register("back");
  Register("lost");
  Start();
  ASSERT_EQ(in_use_.size(), 2U);
  store_.RestoreCopy();
  timers_.AdvanceBy(milliseconds(1500));
  EXPECT_EQ(in_use_.size(), 2U);
  EXPECT_TRUE(store_.Has("fronts/own"));
  Register("back");
  timers_.AdvanceBy(seconds(4));
  EXPECT_EQ(in_use_, std::set<std::string>{"back"});
}

// Guards against new work for a searcher that is gone, because an older copy of
// the store still holds its registration.
TEST_F(DiscoveryClientTest, RestoredStoreBringsNoGoneSearcherBack) {
  Register("gone");
  Register("alive");
  Start();
  store_.TakeCopy();
  store_.Remove("servers/gone");
  timers_.AdvanceBy(seconds(2));
  ASSERT_EQ(in_use_, std::set<std::string>{"alive"});
  store_.RestoreCopy();
  for (int n = 0; n < 10; ++n) {
    timers_.AdvanceBy(milliseconds(150));
    EXPECT_FALSE(in_use_.contains("gone"));
  }
  // What was written since the copy is written again.
  store_.Remove("servers/gone");
  timers_.AdvanceBy(seconds(5));
  EXPECT_EQ(in_use_, std::set<std::string>{"alive"});
}

// Guards against a searcher that stays unused although its registration holds.
TEST_F(DiscoveryClientTest, RegistrationThatStaysAfterRestoreIsUsed) {
  Register("back");
  Start();
  store_.TakeCopy();
  store_.Remove("servers/back");
  timers_.AdvanceBy(seconds(2));
  store_.RestoreCopy();
  timers_.AdvanceBy(seconds(6));
  EXPECT_EQ(in_use_, std::set<std::string>{"back"});
}

}  // namespace
}  // namespace jujubecove

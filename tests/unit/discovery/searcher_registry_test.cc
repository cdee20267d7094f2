#include "discovery/searcher_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SearcherEntry MakeEntry(const std::string& id,
                        std::int64_t started_ms,
                        std::int64_t heartbeat) {
  SearcherEntry entry;
  entry.id = InstanceId(id);
  entry.service = ServiceName("service");
  entry.address = SocketAddress{"10.0.0.1", 80};
  entry.started_ms = started_ms;
  entry.heartbeat = heartbeat;
  return entry;
}

class SearcherRegistryTest : public testing::Test {
 protected:
  SearcherRegistryTest()
      : registry_(
            timers_,
            [this](SearcherChange change, const SearcherEntry& entry) {
              static constexpr std::array<const char*, 4> kNames = {
                  "added", "updated", "draining", "gone"};
              changes_.push_back(kNames[static_cast<std::size_t>(change)] +
                                 std::string(" ") + entry.id.value());
            }) {}

  std::vector<std::string> TakeChanges() { return std::exchange(changes_, {}); }

  using Changes = std::vector<std::string>;
  FakeTimerService timers_;
  Changes changes_;
  SearcherRegistry registry_;
};

// Guards against new work for a draining searcher when a heartbeat from before
// the drain arrives late.
TEST_F(SearcherRegistryTest, DrainingIncarnationIsNeverReadyAgain) {
  registry_.Put(MakeEntry("s", 100, 1));
  SearcherEntry draining = MakeEntry("s", 100, 5);
  draining.state = SearcherState::kDraining;
  registry_.Put(draining);
  registry_.Put(MakeEntry("s", 100, 4));
  registry_.Put(MakeEntry("s", 100, 6));
  registry_.Remove(InstanceId("s"));
  registry_.Put(MakeEntry("s", 100, 7));
  EXPECT_EQ(TakeChanges(), (Changes{"added s", "draining s", "gone s"}));
  EXPECT_EQ(registry_.ready_count(), 0U);
}

// Guards against confusing a restarted searcher with its predecessor.
// A searcher that says in a reply that it is leaving must stay out, whatever
// its registration says, until it has restarted.
TEST_F(SearcherRegistryTest, LeavingIncarnationIsNeverReadyAgain) {
  SearcherEntry entry = MakeEntry("i-1", 100, 1);
  registry_.Put(entry);
  TakeChanges();
  registry_.MarkLeaving(entry);
  registry_.MarkLeaving(entry);
  EXPECT_EQ(TakeChanges(), Changes{"draining i-1"});
  EXPECT_EQ(registry_.ready_count(), 0U);
  registry_.Put(MakeEntry("i-1", 100, 2));
  registry_.Remove(entry.id);
  registry_.Put(MakeEntry("i-1", 100, 3));
  registry_.DeferRemovalsUntil(timers_.Now() + seconds(2));
  registry_.BeginListing();
  registry_.Put(MakeEntry("i-1", 100, 4));
  registry_.EndListing();
  timers_.AdvanceBy(seconds(3));
  EXPECT_EQ(TakeChanges(), Changes{"gone i-1"});
  EXPECT_EQ(registry_.ready_count(), 0U);
  registry_.Put(MakeEntry("i-1", 101, 1));
  EXPECT_EQ(TakeChanges(), (Changes{"gone i-1", "added i-1"}));
  EXPECT_EQ(registry_.ready_count(), 1U);
}

// A late reply of an earlier incarnation says nothing about the present one.
TEST_F(SearcherRegistryTest, LeavingOfEarlierIncarnationIsIgnored) {
  registry_.Put(MakeEntry("i-1", 101, 1));
  TakeChanges();
  registry_.MarkLeaving(MakeEntry("i-1", 100, 7));
  registry_.MarkLeaving(MakeEntry("i-2", 100, 7));
  EXPECT_TRUE(TakeChanges().empty());
  EXPECT_EQ(registry_.ready_count(), 1U);
}

TEST_F(SearcherRegistryTest, RestartWithSameIdIsNewSearcher) {
  SearcherEntry draining = MakeEntry("s", 100, 50);
  draining.state = SearcherState::kDraining;
  registry_.Put(draining);
  registry_.Put(MakeEntry("s", 200, 1));
  EXPECT_EQ(TakeChanges(), (Changes{"gone s", "added s"}));
  registry_.Put(MakeEntry("s", 100, 51));
  EXPECT_TRUE(TakeChanges().empty());
  EXPECT_EQ(registry_.ready_count(), 1U);
}

// Guards against sending to a searcher's previous address.
TEST_F(SearcherRegistryTest, NewAddressReplacesSearcher) {
  registry_.Put(MakeEntry("s", 100, 1));
  SearcherEntry moved = MakeEntry("s", 100, 2);
  moved.address.port = 81;
  registry_.Put(moved);
  EXPECT_EQ(TakeChanges(), (Changes{"added s", "gone s", "added s"}));
}

// Guards against an empty pool after an outage of the store, during which
// registrations expire. Live searchers register again within two seconds.
TEST_F(SearcherRegistryTest, DefersRemovalsAfterOutage) {
  registry_.Put(MakeEntry("back", 100, 1));
  registry_.Put(MakeEntry("lost", 100, 1));
  registry_.DeferRemovalsUntil(timers_.Now() + milliseconds(2300));
  registry_.BeginListing();
  registry_.EndListing();
  EXPECT_EQ(registry_.ready_count(), 2U);
  timers_.AdvanceBy(seconds(1));
  registry_.Put(MakeEntry("back", 100, 2));
  timers_.AdvanceBy(seconds(2));
  EXPECT_EQ(registry_.ready_count(), 1U);
  EXPECT_EQ(TakeChanges().back(), "gone lost");
}

// Guards against keeping a draining searcher in use after an outage.
TEST_F(SearcherRegistryTest, DoesNotDeferDrain) {
  registry_.Put(MakeEntry("s", 100, 1));
  registry_.DeferRemovalsUntil(timers_.Now() + seconds(2));
  SearcherEntry draining = MakeEntry("s", 100, 2);
  draining.state = SearcherState::kDraining;
  registry_.Put(draining);
  EXPECT_EQ(registry_.ready_count(), 0U);
}

// Guards against keeping searchers that were removed while no watch was active.
TEST_F(SearcherRegistryTest, ListingRemovesMissingSearchers) {
  registry_.Put(MakeEntry("a", 100, 1));
  registry_.Put(MakeEntry("b", 100, 1));
  TakeChanges();
  registry_.BeginListing();
  registry_.Put(MakeEntry("b", 100, 1));
  registry_.EndListing();
  EXPECT_EQ(TakeChanges(), (Changes{"updated b", "gone a"}));
}

}  // namespace
}  // namespace jujubecove

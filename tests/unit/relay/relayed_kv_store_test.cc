#include "relay/relayed_kv_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/unit/relay/relay_fleet.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFleetSize = 20;
// A change is in force everywhere within this time of its acknowledgement.
constexpr Duration kBound = seconds(3);

// Guards against a fleet in which every daemon watches the store.
TEST(RelayedKvStoreTest, TwoDaemonsOfZoneWatchStore) {
  RelayFleet fleet(kFleetSize);
  EXPECT_EQ(fleet.Readers().size(), 2U);
  int before = fleet.StoreCalls();
  fleet.timers_.AdvanceBy(seconds(10));
  EXPECT_LE(fleet.StoreCalls() - before, 2 * 10);
  EXPECT_LT(fleet.MeasureChange(), seconds(2));
  EXPECT_LT(fleet.MeasureChange(), seconds(2));
}

// Guards against readers in deployments that are served well without.
TEST(RelayedKvStoreTest, SmallZoneWatchesStoreItself) {
  RelayFleet fleet(kFleetSize, kFleetSize + 1);
  EXPECT_TRUE(fleet.Readers().empty());
  for (RelayFleet::Vm* it : fleet.Live())
    EXPECT_EQ(it->relayed_.stats().reader_answers, 0U);
  EXPECT_EQ(fleet.store_.last_watch_wait(), milliseconds(2800));
}

// Guards against followers that wait for a reader which does not run, and
// against a reader that passes its old view off as current when it wakes.
TEST(RelayedKvStoreTest, FrozenReadersDelayNoChange) {
  for (bool clock_stopped : {false, true}) {
    for (std::size_t frozen : {1U, 2U}) {
      RelayFleet fleet(kFleetSize);
      std::vector<RelayFleet::Vm*> readers = fleet.Readers();
      readers.resize(frozen);
      for (RelayFleet::Vm* it : readers)
        it->timers_.Freeze();
      EXPECT_LT(fleet.MeasureChange(), kBound);
      for (int n = 0; n < 5; ++n) {
        fleet.timers_.AdvanceBy(milliseconds(1700));
        EXPECT_LT(fleet.MeasureChange(), kBound);
      }
      for (RelayFleet::Vm* it : readers)
        it->timers_.Wake(clock_stopped);
      EXPECT_LT(fleet.MeasureChange(), kBound);
      fleet.timers_.AdvanceBy(seconds(40));
      EXPECT_EQ(fleet.Readers().size(), 2U);
    }
  }
}

// Guards against a zone that stays without readers after both have died.
TEST(RelayedKvStoreTest, OthersTakeOverFromDeadReaders) {
  RelayFleet fleet(kFleetSize);
  for (RelayFleet::Vm* it : fleet.Readers())
    it->Kill();
  EXPECT_LT(fleet.MeasureChange(), kBound);
  fleet.timers_.AdvanceBy(seconds(20));
  int before = fleet.StoreCalls();
  fleet.timers_.AdvanceBy(seconds(20));
  EXPECT_LT(fleet.StoreCalls() - before, kFleetSize * 20 / 4);
  EXPECT_LT(fleet.MeasureChange(), kBound);
}

// Guards against readers that answer although only they have lost the store.
TEST(RelayedKvStoreTest, ReadersCutFromStoreDecline) {
  RelayFleet fleet(kFleetSize);
  std::vector<RelayFleet::Vm*> readers = fleet.Readers();
  for (std::size_t cut : {1U, 2U}) {
    for (std::size_t n = 0; n < cut; ++n)
      readers[n]->store_.is_cut_ = true;
    fleet.store_.Set("other", std::to_string(cut));
    fleet.timers_.AdvanceBy(kBound);
    for (RelayFleet::Vm* it : fleet.Live()) {
      if (!it->store_.is_cut_) {
        EXPECT_EQ(it->view_.items_["other"], std::to_string(cut));
      }
    }
  }
  for (RelayFleet::Vm* it : readers)
    it->store_.is_cut_ = false;
  fleet.timers_.AdvanceBy(seconds(5));
  EXPECT_LT(fleet.MeasureChange(), kBound);
}

// Guards against a daemon cut from the store that does not use its reader.
TEST(RelayedKvStoreTest, FollowerCutFromStoreStaysCurrent) {
  RelayFleet fleet(kFleetSize);
  for (RelayFleet::Vm* it : fleet.Live())
    it->store_.is_cut_ = !it->relayed_.is_reader();
  for (int n = 0; n < 5; ++n) {
    EXPECT_LT(fleet.MeasureChange(), kBound);
    fleet.timers_.AdvanceBy(seconds(1));
  }
}

// Guards against registrations that are dropped at once after an outage of the
// store that only the readers have seen.
TEST(RelayedKvStoreTest, FollowersLearnOfOutage) {
  RelayFleet fleet(kFleetSize);
  fleet.store_.set_call_status(KvStatus::kRefused);
  fleet.timers_.AdvanceBy(seconds(6));
  fleet.store_.set_call_status(KvStatus::kOk);
  fleet.timers_.AdvanceBy(seconds(2));
  for (RelayFleet::Vm* it : fleet.Live())
    EXPECT_GE(it->view_.outage_, seconds(4));
  EXPECT_LT(fleet.MeasureChange(), kBound);
}

// Guards against a follower that misses changes which the reader or the store
// does not remember any more.
TEST(RelayedKvStoreTest, HistoryThatIsGoneIsReadFromStore) {
  RelayFleet fleet(kFleetSize);
  RelayFleet::Vm* follower = fleet.Live().front();
  for (RelayFleet::Vm* it : fleet.Live())
    follower = it->relayed_.is_reader() ? follower : it;
  follower->timers_.Freeze();
  for (int n = 0; n < 30; ++n) {
    fleet.store_.Set("big",
                     std::string(50000, static_cast<char>('a' + n % 26)));
    fleet.timers_.AdvanceBy(seconds(1));
  }
  fleet.store_.Remove("big");
  fleet.store_.Compact();
  follower->timers_.Wake(false);
  EXPECT_LT(fleet.MeasureChange(), kBound);
  EXPECT_FALSE(follower->view_.items_.contains("big"));
}

// Guards against a watch for each part of the registrations when a fleet
// starts: a listing and one watch show the readers.
TEST(RelayedKvStoreTest, StartOfFleetTakesTwoCallsEach) {
  RelayFleet fleet(0);
  for (int n = 0; n < kFleetSize; ++n) {
    fleet.Start(VmId("vm" + std::to_string(n)));
    fleet.store_.Set("fronts/vm" + std::to_string(n), "1");
    fleet.timers_.AdvanceBy(milliseconds(40));
  }
  fleet.timers_.AdvanceBy(seconds(1));
  EXPECT_LE(fleet.StoreCalls(), 2 * kFleetSize + 6);
}

TEST(RelayedKvStoreTest, AllRestartedAtOnce) {
  RelayFleet fleet(kFleetSize);
  for (RelayFleet::Vm* it : fleet.Live())
    fleet.Start(it->entry_.vm);
  fleet.timers_.AdvanceBy(seconds(1));
  EXPECT_LT(fleet.MeasureChange(), kBound);
  fleet.timers_.AdvanceBy(seconds(5));
  EXPECT_EQ(fleet.Readers().size(), 2U);
}

// Whatever fails, each view equals the store after a quiet time, and no key
// ever goes back to an older state.
RC_GTEST_PROP(RelayedKvStoreTest, ViewsConvergeAndNeverGoBack, ()) {
  RelayFleet fleet(kFleetSize);
  int steps = *rc::gen::inRange(5, 40);
  for (int n = 0; n < steps; ++n) {
    RelayFleet::Vm& vm = fleet.Find(
        VmId("vm" + std::to_string(*rc::gen::inRange(0, kFleetSize))));
    std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
    switch (*rc::gen::inRange(0, 11)) {
      case 0:
        vm.store_.is_cut_ = !vm.store_.is_cut_;
        break;
      case 1:
        if (vm.timers_.frozen())
          vm.timers_.Wake(*rc::gen::arbitrary<bool>());
        else
          vm.timers_.Freeze();
        break;
      case 2:
        fleet.Start(vm.entry_.vm);
        break;
      case 3:
        fleet.store_.Compact();
        break;
      case 4:
        fleet.store_.set_call_status(
            *rc::gen::element(KvStatus::kOk, KvStatus::kRefused));
        break;
      case 5:
        fleet.store_.Remove(key);
        break;
      case 6:
        fleet.store_.TakeCopy();
        break;
      case 7:
        fleet.store_.RestoreCopy();
        break;
      default:
        fleet.store_.Set(key, std::to_string(n));
    }
    fleet.timers_.AdvanceBy(milliseconds(*rc::gen::inRange(1, 1500)));
  }
  fleet.store_.set_call_status(KvStatus::kOk);
  for (const auto& it : fleet.vms_) {
    it->store_.is_cut_ = false;
    if (it->timers_.frozen() && !it->is_dead_)
      it->timers_.Wake(false);
  }
  fleet.timers_.AdvanceBy(seconds(10));
  for (RelayFleet::Vm* it : fleet.Live()) {
    RC_ASSERT(!it->view_.went_back_);
    for (int n = 0; n < 4; ++n) {
      std::string key = "k" + std::to_string(n);
      RC_ASSERT(it->view_.items_.contains(key) == fleet.store_.Has(key));
      if (fleet.store_.Has(key))
        RC_ASSERT(it->view_.items_[key] == fleet.store_.ValueOf(key));
    }
  }
}

// Guards against a reader whose revisions are of an era before the follower's,
// or the other way round.
TEST(RelayedKvStoreTest, RestoredStoreIsListedByAll) {
  RelayFleet fleet(kFleetSize);
  fleet.store_.TakeCopy();
  fleet.store_.Set("lost", "1");
  fleet.timers_.AdvanceBy(kBound);
  fleet.store_.RestoreCopy();
  EXPECT_LT(fleet.MeasureChange(), kBound);
  for (RelayFleet::Vm* it : fleet.Live())
    EXPECT_FALSE(it->view_.items_.contains("lost"));
  int before = fleet.StoreCalls();
  fleet.timers_.AdvanceBy(seconds(10));
  EXPECT_LE(fleet.StoreCalls() - before, 2 * 10);
}

}  // namespace
}  // namespace jujubecove

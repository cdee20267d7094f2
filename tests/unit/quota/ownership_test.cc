#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"
#include "quota/quota_owner.h"

namespace jujubecove {
namespace {

using std::chrono::seconds;

DaemonEntry MakeEntry(const std::string& vm, std::uint64_t incarnation) {
  DaemonEntry entry;
  entry.vm = VmId(vm);
  entry.zone = ZoneName("zone");
  entry.incarnation = IncarnationId(incarnation);
  entry.peer_address = SocketAddress{"10.0.0.1", 80};
  return entry;
}

class OwnershipTest : public testing::Test {
 protected:
  OwnershipTest()
      : guard_(timers_, [this] { return view_confirmed_; }),
        map_(VmId("a"), ZoneName("zone"), IncarnationId(1)),
        owner_(timers_, {seconds(5), 0.1, 20.0}, map_, guard_) {}

  FakeTimerService timers_;
  TimePoint view_confirmed_{};
  OwnershipGuard guard_;
  OwnerMap map_;
  QuotaOwner owner_;
};

// Guards against a VM that grants in full while one that does not know it may
// do so too, and against one that never does because another VM is gone.
TEST_F(OwnershipTest, IsConfirmedOnceAllKnowThisVmOrHaveNotReadTheStore) {
  guard_.OnRegistered({MakeEntry("b", 1), MakeEntry("c", 1)});
  EXPECT_FALSE(guard_.IsConfirmed());
  guard_.OnAcknowledged(VmId("b"));
  EXPECT_FALSE(guard_.IsConfirmed());
  guard_.OnPeersChanged({MakeEntry("b", 1), MakeEntry("c", 2)});
  EXPECT_TRUE(guard_.IsConfirmed());
  guard_.OnRegistered({MakeEntry("b", 1)});
  timers_.AdvanceBy(OwnershipGuard::kHoldOff);
  view_confirmed_ = timers_.Now();
  EXPECT_TRUE(guard_.IsConfirmed());
}

// Guards against a VM that is cut off from the store and goes on granting
// beside one that has joined since.
TEST_F(OwnershipTest, IsNotConfirmedWithoutReadingTheStore) {
  guard_.OnRegistered({});
  EXPECT_TRUE(guard_.IsConfirmed());
  timers_.AdvanceBy(OwnershipGuard::kViewLifetime);
  EXPECT_FALSE(guard_.IsConfirmed());
  EXPECT_LT(OwnershipGuard::kViewLifetime, OwnershipGuard::kHoldOff);
}

// Guards against a VM that grants a full bucket again each time when it becomes
// the owner again.
TEST_F(OwnershipTest, StartsWithAnEmptyBucketWhenItIsOwnerAgain) {
  ServingConfig config;
  config.workspaces.resize(20);
  for (int n = 0; n < 20; ++n) {
    config.workspaces[n].name = WorkspaceName("w" + std::to_string(n));
    config.workspaces[n].rate_per_second = 1.0;
    config.workspaces[n].burst = 20.0;
  }
  owner_.SetTable(std::make_shared<const RouteTable>(config));
  FleetDirectory fleet;
  fleet.Put(MakeEntry("a", 1));
  map_.Update(fleet);
  guard_.OnRegistered({});
  owner_.StartBuckets();
  timers_.AdvanceBy(seconds(10));
  fleet.Put(MakeEntry("b", 1));
  map_.Update(fleet);
  owner_.OnOwnersChanged();
  std::vector<WorkspaceName> lost;
  for (const Workspace& it : config.workspaces) {
    if (!owner_.Grant({it.name, VmId("a"), 1, 0}).owner)
      lost.push_back(it.name);
  }
  EXPECT_FALSE(lost.empty());
  fleet.Remove(VmId("b"));
  map_.Update(fleet);
  owner_.OnOwnersChanged();
  for (const WorkspaceName& it : lost)
    EXPECT_EQ(owner_.Grant({it, VmId("a"), 9, 0}).granted, 0);
}

}  // namespace
}  // namespace jujubecove

#include <gtest/gtest.h>
#include <unistd.h>

#include <set>
#include <string>

#include "discovery/discovery_client.h"
#include "kernel/fake_timer_service.h"
#include "platform/registration_codec.h"
#include "tests/standin/fake_kv_store.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Within this time of its acknowledgement an evacuation is in force.
constexpr Duration kMaxDelay = seconds(5);

class EvacuationDiscoveryTest : public testing::Test {
 protected:
  EvacuationDiscoveryTest()
      : store_(timers_),
        sink_(STDOUT_FILENO, 1U << 16U),
        log_(sink_, "own", 0),
        discovery_(
            timers_,
            store_,
            codec_,
            log_,
            {{VmId("own"), ZoneName("zone")}, milliseconds(2500), 1},
            {.table_changed = [](const RouteTablePtr&) {},
             .searcher_changed = [](SearcherChange, const SearcherEntry&) {},
             .fleet_size_changed = [](int) {},
             .zone_evacuated =
                 [this](const ZoneName& zone, bool evacuated) {
                   if (evacuated)
                     zones_.insert(zone.value());
                   else
                     zones_.erase(zone.value());
                 }}) {}

  FakeTimerService timers_;
  FakeKvStore store_;
  platform::PlatformRegistrationCodec codec_;
  LineSink sink_;
  DecisionLog log_;
  std::set<std::string> zones_;
  DiscoveryClient discovery_;
};

TEST_F(EvacuationDiscoveryTest, FollowsKeysAlsoWhileOthersChange) {
  store_.Set("op/evacuate/early", "");
  discovery_.Start();
  timers_.AdvanceBy(seconds(1));
  EXPECT_EQ(zones_, std::set<std::string>{"early"});
  store_.Set("op/other", "x");
  timers_.AdvanceBy(milliseconds(1));
  store_.Set("op/evacuate/late", "{}");
  store_.Remove("op/evacuate/early");
  timers_.AdvanceBy(kMaxDelay);
  EXPECT_EQ(zones_, std::set<std::string>{"late"});
}

// Guards against an evacuation that ends because the store is away, or that
// stands for good because its end was in history that the store dropped.
TEST_F(EvacuationDiscoveryTest, KeepsLastKnownStateUntilListing) {
  store_.Set("op/evacuate/a", "");
  store_.Set("op/evacuate/b", "");
  discovery_.Start();
  timers_.AdvanceBy(seconds(1));
  store_.set_call_status(KvStatus::kUnknown);
  timers_.AdvanceBy(seconds(20));
  EXPECT_EQ(zones_.size(), 2U);
  store_.Remove("op/evacuate/a");
  store_.Compact();
  store_.set_call_status(KvStatus::kOk);
  timers_.AdvanceBy(kMaxDelay);
  EXPECT_EQ(zones_, std::set<std::string>{"b"});
}

}  // namespace
}  // namespace jujubecove

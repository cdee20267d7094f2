#include "membership/membership.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "tests/standin/fake_peer_network.h"
#include "tests/standin/node_timers.h"

namespace jujubecove {
namespace {

constexpr Duration kSecond(1'000'000);

// One simulated daemon that only keeps its membership.
class Node : public PeerHandler {
 public:
  Node(FakePeerNetwork& network,
       TimerService& shared,
       int slot,
       std::int64_t incarnation,
       const std::string& zone)
      : network_(network),
        timers(shared),
        address("10.0.0." + std::to_string(slot) + ":7000"),
        transport_(network, timers, address, zone),
        membership(timers,
                   transport_,
                   Self(incarnation, address, zone),
                   static_cast<std::uint64_t>(incarnation)) {
    network.Add(address, zone, timers, *this);
  }
  ~Node() override { network_.Remove(address); }

  static wire::Member Self(std::int64_t incarnation,
                           const std::string& address,
                           const std::string& zone) {
    wire::Member self;
    self.incarnation = incarnation;
    self.id = "vm-" + address;
    self.address = address;
    self.zone = zone;
    return self;
  }

  wire::ExchangeMessage OnExchange(
      const wire::ExchangeMessage& message) override {
    return membership.OnExchange(message);
  }
  wire::DocumentReply OnFetchDelta(ConfigVersion, ConfigVersion) override {
    return {};
  }
  wire::DocumentReply OnFetchDocument(ConfigVersion) override { return {}; }
  void OnExecute(const wire::ForwardRequest&, ForwardResponder) override {}

 private:
  FakePeerNetwork& network_;

 public:
  NodeTimers timers;
  std::string address;

 private:
  FakePeerTransport transport_;

 public:
  Membership membership;
};

class MembershipTest : public testing::Test {
 protected:
  MembershipTest() : network_(7) {}

  void Start(int slot, std::int64_t incarnation) {
    nodes_[slot].reset();
    nodes_[slot] = std::make_unique<Node>(network_, timers_, slot, incarnation,
                                          "zone" + std::to_string(slot % 3));
    nodes_[slot]->membership.SetListed(listed_);
    nodes_[slot]->membership.Start();
  }

  void List(int count) {
    for (int slot = 1; slot <= count; ++slot) {
      std::string address = "10.0.0." + std::to_string(slot) + ":7000";
      listed_.push_back({VmId("vm-" + address), address,
                         ZoneName("zone" + std::to_string(slot % 3))});
    }
  }

  void StartAll(int count) {
    List(count);
    for (int slot = 1; slot <= count; ++slot)
      Start(slot, slot);
  }

  // Smallest and largest number of live members that any daemon counts.
  std::pair<std::size_t, std::size_t> LiveCounts() {
    std::size_t least = 1'000'000;
    std::size_t most = 0;
    for (auto& [slot, node] : nodes_) {
      if (node == nullptr)
        continue;
      least = std::min(least, node->membership.live().size());
      most = std::max(most, node->membership.live().size());
    }
    return {least, most};
  }

  using Counts = std::pair<std::size_t, std::size_t>;

  FakeTimerService timers_;
  FakePeerNetwork network_;
  std::vector<ListedMember> listed_;
  std::map<int, std::unique_ptr<Node>> nodes_;
};

// Guards against a daemon that takes its whole connection share before its
// peers count it.
TEST_F(MembershipTest, JoinsOnlyOnceItsPeersHaveAnswered) {
  StartAll(4);
  EXPECT_FALSE(nodes_[1]->membership.joined());
  timers_.AdvanceBy(kSecond / 2);
  for (auto& [slot, node] : nodes_) {
    EXPECT_TRUE(node->membership.joined()) << slot;
    EXPECT_EQ(node->membership.share_count(), 4U) << slot;
  }
  EXPECT_EQ(LiveCounts(), Counts(4, 4));
}

// Guards against listed daemons that nobody has reached yet being left out of
// the connection shares.
TEST_F(MembershipTest, ListedDaemonCountsUntilItProvedAbsent) {
  List(3);
  Start(1, 1);
  EXPECT_EQ(nodes_[1]->membership.share_count(), 3U);
  timers_.AdvanceBy(kSecond * 2);
  EXPECT_EQ(nodes_[1]->membership.share_count(), 1U);
  EXPECT_TRUE(nodes_[1]->membership.joined());
}

// Guards against a dead daemon staying live because the list still names it,
// and against its share being given away while it may only be cut off.
TEST_F(MembershipTest, DeadDaemonIsFoundInSpiteOfTheList) {
  StartAll(4);
  timers_.AdvanceBy(kSecond * 3);
  nodes_[2].reset();
  timers_.AdvanceBy(kSecond * 8);
  EXPECT_EQ(LiveCounts(), Counts(3, 3));
  EXPECT_EQ(nodes_[1]->membership.share_count(), 4U);
  timers_.AdvanceBy(kSecond * 12);
  EXPECT_EQ(nodes_[1]->membership.share_count(), 3U);
}

// Guards against the old incarnation of a restarted daemon staying live.
TEST_F(MembershipTest, NewIncarnationReplacesTheOldOne) {
  StartAll(4);
  timers_.AdvanceBy(kSecond * 3);
  Start(2, 102);
  timers_.AdvanceBy(kSecond * 3);
  EXPECT_EQ(LiveCounts(), Counts(4, 4));
  for (const wire::Member& member : nodes_[1]->membership.live())
    EXPECT_NE(member.incarnation, 2);
}

// Guards against a daemon that was paused for long never being taken back.
TEST_F(MembershipTest, PausedDaemonIsGoneAndComesBack) {
  StartAll(5);
  timers_.AdvanceBy(kSecond * 3);
  nodes_[3]->timers.Pause();
  timers_.AdvanceBy(kSecond * 10);
  EXPECT_EQ(nodes_[1]->membership.live().size(), 4U);
  nodes_[3]->timers.Resume();
  timers_.AdvanceBy(kSecond * 20);
  EXPECT_EQ(LiveCounts(), Counts(5, 5));
}

// Guards against a leaving daemon being chosen for new work of the tier.
TEST_F(MembershipTest, AnnouncedLeavingSpreads) {
  StartAll(4);
  timers_.AdvanceBy(kSecond * 3);
  nodes_[4]->membership.AnnounceLeaving();
  timers_.AdvanceBy(kSecond * 2);
  EXPECT_EQ(nodes_[1]->membership.live().size(), 3U);
  EXPECT_EQ(nodes_[1]->membership.share_count(), 4U);
}

// Guards against two halves that stay apart after a partition has healed.
TEST_F(MembershipTest, ZonesFindEachOtherAfterAPartition) {
  StartAll(12);
  timers_.AdvanceBy(kSecond * 5);
  EXPECT_EQ(LiveCounts(), Counts(12, 12));
  network_.SetIsolated("zone0", true);
  timers_.AdvanceBy(kSecond * 60);
  EXPECT_EQ(nodes_[3]->membership.live().size(), 4U);
  EXPECT_EQ(nodes_[1]->membership.live().size(), 8U);
  network_.SetIsolated("zone0", false);
  timers_.AdvanceBy(kSecond * 60);
  EXPECT_EQ(LiveCounts(), Counts(12, 12));
}

// Guards against lost messages being taken for lost daemons.
TEST_F(MembershipTest, LossAloneRemovesNobodyForLong) {
  network_.SetLoss(0.02);
  StartAll(12);
  timers_.AdvanceBy(kSecond * 5);
  for (int n = 0; n < 60; ++n) {
    timers_.AdvanceBy(kSecond);
    EXPECT_GE(LiveCounts().first, 11U) << n;
  }
}

// Guards against daemons with equal views choosing different relays.
TEST_F(MembershipTest, EqualViewsChooseTheSameDaemons) {
  StartAll(12);
  timers_.AdvanceBy(kSecond * 5);
  std::vector<wire::Member> chosen =
      nodes_[1]->membership.Choose("zone2", "key", 2);
  ASSERT_EQ(chosen.size(), 2U);
  for (auto& [slot, node] : nodes_)
    EXPECT_EQ(node->membership.Choose("zone2", "key", 2), chosen);
}

}  // namespace
}  // namespace jujubecove

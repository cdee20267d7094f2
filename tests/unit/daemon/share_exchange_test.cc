#include "daemon/share_exchange.h"

#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

const ZoneName kZone("zone-a");
constexpr Duration kLongestRequest{500'000};
constexpr Duration kHold{5'100'000};

// A transport that reaches nobody: the messages are passed on by the test.
class NoTransport : public PeerTransport {
 public:
  void Exchange(const std::string&,
                const wire::ExchangeMessage&,
                ExchangeHandler) override {}
  void FetchDelta(const std::string&,
                  ConfigVersion,
                  ConfigVersion,
                  DocumentHandler) override {}
  void FetchDocument(const std::string&,
                     ConfigVersion,
                     DocumentHandler) override {}
  void Execute(const std::string&,
               const wire::ForwardRequest&,
               Duration,
               ForwardHandler) override {}
};

class Node {
 public:
  Node(FakeTimerService& timers, const std::string& id)
      : membership_(timers, transport_, MemberOf(id), 1),
        shares_(timers, VmId(id)),
        exchange_(timers, membership_, shares_) {
    exchange_.SetZones({kZone});
    exchange_.SetLongestRequest(kLongestRequest);
  }

  void SetDaemons(const std::vector<std::string>& ids) {
    std::vector<EntryDaemon> daemons;
    for (const std::string& id : ids)
      daemons.push_back(EntryDaemon{VmId(id), {kZone}});
    shares_.SetDaemons(daemons);
    exchange_.OnDaemons(daemons);
  }

  wire::ExchangeMessage Message() {
    wire::ExchangeMessage message;
    message.sender = membership_.self();
    exchange_.Fill(message);
    return message;
  }

  wire::ExchangeMessage ReplyTo(const wire::ExchangeMessage& message) {
    wire::ExchangeMessage reply = Message();
    exchange_.Answer(message, reply);
    return reply;
  }

  void Receive(const wire::ExchangeMessage& message) {
    exchange_.OnMessage(message);
  }
  std::uint32_t share() const { return shares_.ShareOf(kZone, 25); }

 private:
  static wire::Member MemberOf(const std::string& id) {
    wire::Member member;
    member.incarnation = static_cast<std::int64_t>(id.size());
    member.id = id;
    member.address = "127.0.0.1:1";
    member.zone = kZone.value();
    return member;
  }

  NoTransport transport_;
  Membership membership_;
  ConnectionShares shares_;
  ShareExchange exchange_;
};

class ShareExchangeTest : public testing::Test {
 protected:
  ShareExchangeTest() : old_(timers_, "old"), joining_(timers_, "joining") {
    old_.SetDaemons({"old"});
    timers_.AdvanceBy(kHold);
    old_.SetDaemons({"old", "joining"});
    joining_.SetDaemons({"old", "joining"});
  }

  FakeTimerService timers_;
  Node old_;
  Node joining_;
};

// Guards against a replaced daemon that serves with one connection to each
// searcher until the hold has passed.
TEST_F(ShareExchangeTest, AcknowledgedDaemonGetsItsShareBeforeTheHold) {
  EXPECT_EQ(joining_.share(), 1U);
  timers_.AdvanceBy(kLongestRequest);
  joining_.Receive(old_.ReplyTo(joining_.Message()));
  EXPECT_EQ(joining_.share(), 25U / 3);
  EXPECT_FALSE(joining_.Message().__isset.joining);
}

// Guards against an acknowledgement while requests may still run on connections
// above the smaller share.
TEST_F(ShareExchangeTest, AcknowledgesOnlyAfterTheLongestRequest) {
  timers_.AdvanceBy(kLongestRequest - Duration(1));
  joining_.Receive(old_.ReplyTo(joining_.Message()));
  EXPECT_EQ(joining_.share(), 1U);
}

// Guards against acknowledgements that travel with every exchange.
TEST_F(ShareExchangeTest, SettledDaemonIsSentNoAcknowledgement) {
  timers_.AdvanceBy(kLongestRequest);
  EXPECT_FALSE(joining_.ReplyTo(old_.Message()).__isset.shares);
}

// Guards against a daemon that vouches for one which it does not count.
TEST_F(ShareExchangeTest, UncountedDaemonIsNotAcknowledged) {
  old_.SetDaemons({"old"});
  timers_.AdvanceBy(kLongestRequest);
  EXPECT_FALSE(old_.ReplyTo(joining_.Message()).__isset.shares);
  EXPECT_EQ(joining_.share(), 1U);
}

}  // namespace
}  // namespace jujubecove

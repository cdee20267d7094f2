#include "daemon/peer_forwarder.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>

namespace jujubecove {
namespace {

// Answers Execute; the other calls are not used.
class ScriptedPeers : public PeerTransport {
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
  void Execute(const std::string& address,
               const wire::ForwardRequest& request,
               Duration,
               ForwardHandler handler) override {
    addresses.push_back(address);
    requests.push_back(request);
    handler(result);
  }

  std::vector<std::string> addresses;
  std::vector<wire::ForwardRequest> requests;
  PeerResult<wire::ForwardReply> result;
};

class PeerForwarderTest : public testing::Test {
 protected:
  PeerForwarderTest() { forwarder_.SetTransport(peers_); }

  // Forwards one request and runs both threads' work on this one.
  std::optional<RenderedAnswer> Forward(const std::string& address) {
    QueryRequest request;
    request.kind = KindName("record-payment");
    request.caller = CallerName("mill");
    request.key = "m-1";
    request.idempotency_key = "ticket";
    request.traceparent = "trace";
    request.body = "body";
    request.deadline = std::chrono::milliseconds(80);
    forwarder_.Forward(TicketOwner{address, IncarnationId(1)}, request,
                       [this](std::optional<RenderedAnswer> answer) {
                         answer_ = std::move(answer);
                         ++answers_;
                       });
    for (int n = 0; n < 3; ++n) {
      control_.context().poll();
      query_.context().poll();
    }
    return answer_;
  }

  DutyThread query_{"query"};
  DutyThread control_{"control"};
  PeerForwarder forwarder_{query_, control_, 2};
  ScriptedPeers peers_;
  std::optional<RenderedAnswer> answer_;
  int answers_ = 0;
};

// Guards against fields that are lost between daemons.
TEST_F(PeerForwarderTest, CarriesTheWholeRequest) {
  forwarder_.SetKnownAddresses({"127.0.0.1:1"});
  peers_.result.status = PeerStatus::kDone;
  peers_.result.value.status = 200;
  peers_.result.value.body = "answer";
  std::optional<RenderedAnswer> answer = Forward("127.0.0.1:1");
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->http_status, 200);
  EXPECT_EQ(answer->body, "answer");
  QueryRequest request = FromForwardRequest(peers_.requests.at(0));
  EXPECT_EQ(request.kind, KindName("record-payment"));
  EXPECT_EQ(request.caller, CallerName("mill"));
  EXPECT_EQ(request.key, "m-1");
  EXPECT_EQ(request.idempotency_key, "ticket");
  EXPECT_EQ(request.traceparent, "trace");
  EXPECT_EQ(request.body, "body");
  EXPECT_EQ(request.deadline, Duration(80'000));
}

// Guards against connections to any address that a caller writes into a ticket.
TEST_F(PeerForwarderTest, ConnectsOnlyToKnownDaemons) {
  forwarder_.SetKnownAddresses({"127.0.0.1:1"});
  EXPECT_FALSE(Forward("127.0.0.1:2").has_value());
  EXPECT_EQ(answers_, 1);
  EXPECT_TRUE(peers_.addresses.empty());
}

// Guards against a lost reply that is taken for an answer, and against a
// request that is never answered because earlier ones failed.
TEST_F(PeerForwarderTest, UnknownOutcomeFreesItsPlace) {
  forwarder_.SetKnownAddresses({"127.0.0.1:1"});
  peers_.result.status = PeerStatus::kUnknown;
  for (int n = 1; n <= 5; ++n) {
    EXPECT_FALSE(Forward("127.0.0.1:1").has_value());
    EXPECT_EQ(answers_, n);
  }
  EXPECT_EQ(peers_.addresses.size(), 5U);
}

}  // namespace
}  // namespace jujubecove

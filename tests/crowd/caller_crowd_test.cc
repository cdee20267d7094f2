#include "tests/crowd/caller_crowd.h"

#include <gtest/gtest.h>

#include "tests/crowd/front_process.h"

namespace jujubecove::crowd {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;

std::string Get(const std::string& target) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 60000\r\n\r\n";
}

// Callers that nobody controls, against one real daemon with little memory and
// few descriptors. The bounds are the limits in its settings. Nothing here
// depends on the speed of the machine.
class CallerCrowdTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(front_.AwaitReady()); }

  // While the crowd is still connected.
  void ExpectDaemonSound() {
    ASSERT_TRUE(front_.IsRunning());
    std::size_t peak = front_.PeakResidentBytes();
    RecordProperty("peak_kb", std::to_string(peak >> 10U));
    RecordProperty("descriptors", std::to_string(front_.OpenDescriptors()));
    EXPECT_LE(peak, static_cast<std::size_t>(kLimits.memory_mb) * kMegabyte);
    EXPECT_LE(front_.OpenDescriptors(),
              static_cast<std::size_t>(kLimits.max_descriptors));
    EXPECT_EQ(AskUntil(front_.callers(), "/small/1", kOk), kOk);
    EXPECT_EQ(AskUntil(front_.readiness(), "/ready", kOk), kOk);
  }

  static constexpr FrontLimits kLimits{.memory_mb = 24, .max_descriptors = 640};
  // Fewer than half of the descriptors.
  static constexpr std::size_t kCrowd = 300;
  // Enough to fill the buffers of a connection and those of its socket.
  static constexpr std::size_t kRequestsAhead = 6'000;

  FrontProcess front_{kLimits};
  CallerCrowd crowd_;
};

// Guards against requests ahead that fill the memory at the readiness path.
TEST_F(CallerCrowdTest, RequestsAheadAtReadiness) {
  crowd_.Open(front_.readiness(), kCrowd);
  crowd_.Send("", Get("/ready"), kRequestsAhead);
  ExpectDaemonSound();
}

// Guards against requests ahead that fill the memory at paths without route.
TEST_F(CallerCrowdTest, RequestsAheadWithoutRoute) {
  crowd_.Open(front_.callers(), kCrowd);
  crowd_.Send("", Get("/nowhere/1"), kRequestsAhead);
  ExpectDaemonSound();
}

// Guards against requests ahead that fill the memory behind one that waits.
TEST_F(CallerCrowdTest, RequestsAheadBehindSlowOne) {
  crowd_.Open(front_.callers(), kCrowd);
  crowd_.Send(Get("/slow/1"), Get("/small/1"), kRequestsAhead);
  ExpectDaemonSound();
}

// Guards against many large bodies that are never complete: all but their last
// bytes arrive, and these one at a time.
TEST_F(CallerCrowdTest, LargeBodiesByteByByte) {
  crowd_.Open(front_.callers(), kCrowd);
  crowd_.Send(
      "POST /small/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Content-Length: 262144\r\n\r\n" +
          std::string(250'000, 'b'),
      "b", 100);
  ExpectDaemonSound();
}

// Guards against large answers that their callers do not read.
TEST_F(CallerCrowdTest, LargeAnswersUnread) {
  crowd_.Open(front_.callers(), kCrowd);
  crowd_.Send("", Get("/search/1"), 10);
  ExpectDaemonSound();
}

// Guards against header fields without end.
TEST_F(CallerCrowdTest, EndlessHeaderFields) {
  crowd_.Open(front_.callers(), kCrowd);
  crowd_.Send("GET /small/1 HTTP/1.1\r\nHost: h\r\n", "X-Field: value\r\n",
              kRequestsAhead);
  ExpectDaemonSound();
}

// Guards against requests ahead at the address for other entry daemons.
TEST_F(CallerCrowdTest, RequestsAheadAtPeerAddress) {
  crowd_.Open(front_.peers(), kCrowd);
  crowd_.Send("", Get("/nowhere/1"), kRequestsAhead);
  ExpectDaemonSound();
}

// Guards against connections without a request that take the descriptors which
// callers, searchers and the store need.
TEST_F(CallerCrowdTest, SilentConnectionsAtAllAddresses) {
  for (const SocketAddress& it :
       {front_.callers(), front_.readiness(), front_.metrics(), front_.peers()})
    crowd_.Open(it, kCrowd);
  ExpectDaemonSound();
}

// Guards against a daemon that accepts nobody any more because the kernel gives
// it fewer descriptors than its settings say.
TEST_F(CallerCrowdTest, SilentConnectionsTakeLastDescriptor) {
  front_.LimitDescriptors(200);
  crowd_.Open(front_.callers(), kCrowd);
  ExpectDaemonSound();
}

// Guards against a caller that closes its sending side and gets no answer,
// although its requests need no searcher.
TEST_F(CallerCrowdTest, HalfClosedConnectionsAreAnswered) {
  CallerCrowd other;
  crowd_.Open(front_.callers(), kCrowd);
  other.Open(front_.readiness(), 1);
  crowd_.Send(Get("/nowhere/1") + Get("/nowhere/2"), "", 0);
  other.Send(Get("/ready"), "", 0);
  crowd_.ShutDownSending();
  other.ShutDownSending();
  EXPECT_EQ(crowd_.CountReceived("HTTP/1.1 404"), kCrowd);
  EXPECT_EQ(other.CountReceived("HTTP/1.1 200"), 1U);
  ExpectDaemonSound();
}

}  // namespace
}  // namespace jujubecove::crowd

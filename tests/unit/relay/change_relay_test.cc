#include "relay/change_relay.h"

#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ChangeRelayTest : public testing::Test {
 protected:
  ChangeRelayTest() : relay_(timers_, seconds(2)) {
    timers_.AdvanceBy(seconds(10));
  }

  // The store has answered a watch after `after` with a change at `revision`.
  void Watch(std::int64_t era,
             std::int64_t after,
             std::int64_t revision,
             Duration late = Duration(0)) {
    KvPage page;
    page.status = KvStatus::kOk;
    page.era = StoreEra(era);
    page.current_revision = StoreRevision(revision);
    page.items = {{"key", "value", StoreRevision(revision), false}};
    relay_.OnWatchStarted();
    relay_.OnWatchFinished({StoreEra(era), StoreRevision(after)},
                           timers_.Now() - late, page);
  }
  ChangesReply Ask(std::int64_t era, std::int64_t after) {
    ChangesReply result;
    relay_.Poll({.after = {StoreEra(era), StoreRevision(after)}},
                [&](ChangesReply reply) { result = std::move(reply); });
    return result;
  }

  FakeTimerService timers_;
  ChangeRelay relay_;
};

TEST_F(ChangeRelayTest, RepliesWithChangesThatItRemembers) {
  Watch(0, 5, 6);
  EXPECT_EQ(Ask(0, 5).items.size(), 1U);
  EXPECT_EQ(Ask(0, 6).items.size(), 0U);
  EXPECT_EQ(Ask(0, 6).state, ViewState::kCurrent);
  EXPECT_EQ(Ask(0, 4).state, ViewState::kNoHistory);
}

// Guards against an answer that a frozen process read long after it was sent.
TEST_F(ChangeRelayTest, LateAnswerLeavesViewStale) {
  Watch(0, 5, 6, seconds(5));
  EXPECT_EQ(Ask(0, 5).state, ViewState::kStale);
}

// Guards against followers that take expired registrations for removals,
// because they do not hear of an outage.
TEST_F(ChangeRelayTest, RepliesTellOfOutages) {
  Watch(0, 5, 6);
  EXPECT_EQ(Ask(0, 5).outage, Duration(0));
  timers_.AdvanceBy(seconds(5));
  EXPECT_EQ(Ask(0, 5).outage, Duration(seconds(5)));
  relay_.OnOutageEnded(seconds(5));
  timers_.AdvanceBy(milliseconds(100));
  Watch(0, 6, 7);
  ChangesReply reply = Ask(0, 6);
  EXPECT_EQ(reply.state, ViewState::kCurrent);
  EXPECT_EQ(reply.outage, Duration(seconds(5)));
  EXPECT_EQ(reply.since_outage, Duration(milliseconds(100)));
  timers_.AdvanceBy(seconds(4));
  Watch(0, 7, 8);
  EXPECT_EQ(Ask(0, 7).outage, Duration(0));
}

// Guards against revisions of two eras that are compared.
TEST_F(ChangeRelayTest, OtherErasAreNotMixed) {
  Watch(2, 5, 6);
  EXPECT_EQ(Ask(1, 5).state, ViewState::kNoHistory);
  EXPECT_EQ(Ask(2, 5).state, ViewState::kCurrent);
  EXPECT_EQ(Ask(3, 5).state, ViewState::kStale);
}

// Guards against a poll that is never answered.
TEST_F(ChangeRelayTest, WaitingPollsEndWithChangeOrWait) {
  Watch(0, 5, 6);
  int replies = 0;
  ChangesQuery query{.after = {StoreEra(0), StoreRevision(6)},
                     .wait = seconds(1)};
  relay_.Poll(query, [&](const ChangesReply& reply) {
    ++replies;
    EXPECT_EQ(reply.items.size(), 1U);
  });
  Watch(0, 6, 7);
  EXPECT_EQ(replies, 1);
  query.after.revision = StoreRevision(7);
  relay_.Poll(query, [&](const ChangesReply& reply) {
    ++replies;
    EXPECT_EQ(reply.state, ViewState::kCurrent);
  });
  timers_.AdvanceBy(seconds(1));
  EXPECT_EQ(replies, 2);
  EXPECT_EQ(relay_.waiting(), 0U);
}

// Guards against messages of a daemon of another version that are misread, and
// values with any bytes.
TEST(StoreChangesTest, MalformedMessagesAreRefused) {
  ChangesReply reply;
  reply.state = ViewState::kCurrent;
  reply.current = {StoreEra(3), StoreRevision(9)};
  reply.items = {{"a", std::string("\xff\0\"\n", 4), StoreRevision(8), false},
                 {"b", "", StoreRevision(9), true}};
  std::string text = Encode(reply);
  std::optional<ChangesReply> decoded = DecodeChangesReply(text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->current.era, StoreEra(3));
  EXPECT_EQ(decoded->items[0].value, reply.items[0].value);
  EXPECT_TRUE(decoded->items[1].removed);
  for (std::size_t n = 0; n < text.size(); ++n)
    EXPECT_FALSE(DecodeChangesReply(text.substr(0, n)));
  for (std::string odd : {"", "[]", "{}", R"({"era":0,"after":-1,"wait_ms":1})",
                          R"({"era":0,"after":1,"wait_ms":1e99})"})
    EXPECT_FALSE(DecodeChangesQuery(odd)) << odd;
}

}  // namespace
}  // namespace jujubecove

#include <gtest/gtest.h>

#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

constexpr Duration kSlow{120'000};

class UnreachableReplicaTest : public RouterFixture {
 protected:
  // Replica 0 was slow for a moment and is ejected; the others are well.
  void StartWithEjected() {
    Start(1, 3);
    for (int n = 0; n < 3; ++n) {
      for (std::size_t replica = 0; replica < 3; ++replica)
        Run(IdOf(0, replica));
    }
    Run(IdOf(0, 0), kSlow);
    ASSERT_EQ(router_.ejected_count(), 1U);
  }
};

// Guards against a shard that is left to its straggler: a replica that can't be
// reached must not take up a place above the floor.
TEST_F(UnreachableReplicaTest, DoesNotKeepAnEjectedOneOut) {
  StartWithEjected();
  for (int n = 0; n < 10; ++n)
    Run(IdOf(0, 0));
  EXPECT_EQ(Chosen(90, 3)[0], 0);
  AttemptId attempt = Send(IdOf(0, 1));
  router_.OnReply(MakeReply(attempt, IdOf(0, 1), AttemptOutcome::kConnectFailed,
                            Duration(500)));
  Send(IdOf(0, 2));
  EXPECT_GT(Chosen(90, 3)[0], 45);
}

// Guards against "no replica" for a version that only an ejected replica at its
// limit holds; the query would end with a gap instead of waiting.
TEST_F(UnreachableReplicaTest, EjectedReplicaAtItsLimitIsBusy) {
  StartWithEjected();
  ReplicaRequest request = Ask();
  request.tried = {IdOf(0, 1), IdOf(0, 2)};
  for (int n = 0; n < 20; ++n)
    Send(IdOf(0, 0));
  EXPECT_EQ(router_.ChooseReplica(request).status,
            ReplicaChoiceStatus::kAllAtLimit);
}

}  // namespace
}  // namespace jujubecove

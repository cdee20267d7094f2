#include <gtest/gtest.h>

#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

constexpr Duration kSlowLatency{120'000};

class UnreachableReplicaTest : public RouterFixture {
 protected:
  // Replica 0 is ejected because it was briefly slow; the others are healthy.
  void StartWithOneEjected() {
    StartService(1, 3);
    for (int n = 0; n < 3; ++n) {
      for (std::size_t replica = 0; replica < 3; ++replica)
        RunAttempt(IdOf(0, replica));
    }
    RunAttempt(IdOf(0, 0), kSlowLatency);
    ASSERT_EQ(router_.ejected_count(), 1U);
  }
};

// Guards against counting an unreachable replica as active: the ejected replica
// would stay out, and the last one would take all load.
TEST_F(UnreachableReplicaTest, EjectedReplicaServesWhenPeerIsUnreachable) {
  StartWithOneEjected();
  for (int n = 0; n < 10; ++n)
    RunAttempt(IdOf(0, 0));
  EXPECT_EQ(CountChoices(90, 3)[0], 0);
  AttemptId attempt = Send(IdOf(0, 1));
  router_.OnReply(MakeReply(attempt, IdOf(0, 1), AttemptOutcome::kConnectFailed,
                            Duration(500)));
  Send(IdOf(0, 2));
  EXPECT_GT(CountChoices(90, 3)[0], 45);
}

// Guards against "no replica" when the only replica left is ejected and at its
// limit: the query would end with a gap instead of waiting.
TEST_F(UnreachableReplicaTest, WaitsForEjectedReplicaAtLimit) {
  StartWithOneEjected();
  ReplicaRequest request = MakeRequest();
  request.tried = {IdOf(0, 1), IdOf(0, 2)};
  for (int n = 0; n < 20; ++n)
    Send(IdOf(0, 0));
  EXPECT_EQ(router_.ChooseReplica(request).status,
            ReplicaChoiceStatus::kAllAtLimit);
}

}  // namespace
}  // namespace jujubecove

#include <gmock/gmock.h>

#include <sstream>

#include "ctl/request_trace.h"
#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using Transport = FakeSearcherTransport;

// Runs each way in which a request can fail, be late or be answered in part,
// and checks the sentence that explains it to operators. Guards against an
// outcome whose cause is not in the log.
class ExplainReasonsTest : public DispatchFixture {
 protected:
  std::string Explain() {
    std::istringstream log(LogText());
    return ExplainOutcome(FindDecisions(log, "r" + std::to_string(submitted_)));
  }
  void AnswerAll(const std::string& service, AttemptResult outcome) {
    for (std::string it = PendingAt(service); !it.empty();
         it = PendingAt(service))
      transport_.Answer(it, Transport::Failure(outcome, 503));
  }
  void AddShards(int count) {
    for (int n = 0; n < count; ++n)
      AddSearchers("s" + std::to_string(n), 1);
  }
};

TEST_F(ExplainReasonsTest, ExplainsMissingConfiguration) {
  Submit("/single/1");
  EXPECT_THAT(Explain(), HasSubstr("no configuration is known yet"));
}

TEST_F(ExplainReasonsTest, ExplainsMissingRoute) {
  Configure(2, 0.5);
  Submit("/none/1");
  EXPECT_THAT(Explain(), HasSubstr("no route for this host and path"));
}

TEST_F(ExplainReasonsTest, ExplainsExpiredDeadline) {
  Configure(2, 0.5);
  Submit("/single/1", milliseconds(5));
  EXPECT_THAT(Explain(), HasSubstr("the deadline has passed"));
}

TEST_F(ExplainReasonsTest, ExplainsMissingSearcher) {
  Configure(2, 0.5);
  Submit("/single/1");
  EXPECT_THAT(Explain(), HasSubstr("no searcher of single"));
}

TEST_F(ExplainReasonsTest, ExplainsTooFewShardsWithSearcher) {
  Configure(4, 0.75);
  AddShards(1);
  Submit("/scatter/1");
  EXPECT_THAT(Explain(), HasSubstr("only 1 of 4 shards have a searcher"));
}

TEST_F(ExplainReasonsTest, ExplainsRefusalBySearchers) {
  Configure(2, 0.5);
  AddSearchers("single", 3);
  Submit("/single/1");
  AnswerAll("single", AttemptResult::kRejected);
  EXPECT_THAT(Explain(), HasSubstr("refused by the searchers: test; the "
                                   "attempt at single."));
}

TEST_F(ExplainReasonsTest, ExplainsFailedSearcher) {
  Configure(2, 0.5);
  AddSearchers("single", 3);
  Submit("/once/1");
  AnswerAll("single", AttemptResult::kBroken);
  EXPECT_THAT(Explain(), HasSubstr("outcome_unknown"));
  EXPECT_THAT(Explain(), HasSubstr("the searcher failed: test"));
}

TEST_F(ExplainReasonsTest, ExplainsReplyTimeout) {
  Configure(2, 0.5);
  AddSearchers("single", 1);
  Submit("/once/1");
  Advance(1000);
  EXPECT_THAT(Explain(), HasSubstr("no reply in time"));
}

TEST_F(ExplainReasonsTest, ExplainsConnectionTimeout) {
  Configure(2, 0.5);
  AddSearchers("single", 1);
  transport_.StopWriting();
  Submit("/once/1");
  Advance(1000);
  EXPECT_THAT(Explain(), HasSubstr("no connection in time"));
}

TEST_F(ExplainReasonsTest, ExplainsTooFewRemainingShards) {
  Configure(2, 1.0);
  AddShards(2);
  Submit("/scatter/1");
  AnswerAll("s1", AttemptResult::kBroken);
  EXPECT_THAT(Explain(), HasSubstr("too few shards can answer: 0 of 2 parts"));
}

TEST_F(ExplainReasonsTest, ExplainsDeadlineWithTooFewParts) {
  Configure(2, 1.0);
  AddShards(2);
  Submit("/scatter/1");
  transport_.Succeed("s0.0");
  Advance(1000);
  EXPECT_THAT(Explain(), HasSubstr("the deadline passed: 1 of 2 parts"));
}

TEST_F(ExplainReasonsTest, ExplainsRepeatedProof) {
  Configure(2, 1.0);
  AddShards(2);
  Submit("/scatter/1");
  transport_.Answer("s0.0", Transport::Success("same", ""));
  transport_.Answer("s1.0", Transport::Success("same", ""));
  EXPECT_THAT(Explain(), HasSubstr("replies repeat a proof"));
}

TEST_F(ExplainReasonsTest, ExplainsDisconnectedCaller) {
  Configure(2, 0.5);
  AddSearchers("single", 1);
  Dispatcher::RunPtr run = Submit("/single/1");
  Advance(30);
  run->Abandon();
  EXPECT_THAT(Explain(), HasSubstr("the caller left after 30 ms"));
}

TEST_F(ExplainReasonsTest, ExplainsPartMissingForLackOfTime) {
  Configure(2, 0.5);
  AddShards(2);
  Submit("/scatter/1");
  transport_.Succeed("s0.0");
  Advance(100);
  EXPECT_THAT(Explain(),
              HasSubstr("s1 is missing after 1 attempts: not_in_time"));
}

TEST_F(ExplainReasonsTest, ExplainsPartMissingForLackOfSearchers) {
  Configure(2, 0.5);
  AddShards(1);
  Submit("/scatter/1");
  transport_.Succeed("s0.0");
  EXPECT_THAT(Explain(),
              HasSubstr("s1 is missing after 0 attempts: no_searcher"));
}

TEST_F(ExplainReasonsTest, ExplainsPartMissingAfterFailure) {
  Configure(2, 0.5);
  AddShards(2);
  Submit("/scatter/1");
  AnswerAll("s1", AttemptResult::kBroken);
  transport_.Succeed("s0.0");
  EXPECT_THAT(Explain(),
              HasSubstr("s1 is missing after 1 attempts: failed (test)"));
}

TEST_F(ExplainReasonsTest, ExplainsPartMissingForSpentRetryBudget) {
  Configure(2, 0.5);
  AddSearchers("s0", 1);
  AddSearchers("s1", 2);
  DispatchOptions options = Options();
  options.retry_budget.ratio = 0.0;
  options.retry_budget.slack = 0.0;
  dispatcher_.SetOptions(options);
  Submit("/scatter/1");
  transport_.Answer(PendingAt("s1"),
                    Transport::Failure(AttemptResult::kRejected, 503));
  transport_.Succeed("s0.0");
  EXPECT_THAT(Explain(),
              HasSubstr("s1 is missing after 1 attempts: budget_spent (test)"));
}

TEST_F(ExplainReasonsTest, ExplainsLateAnswerByLastPart) {
  Configure(2, 1.0);
  AddShards(2);
  Submit("/scatter/1");
  transport_.Succeed("s0.0");
  Advance(150);
  transport_.Succeed("s1.0");
  EXPECT_THAT(Explain(), HasSubstr("the last part came from s1.0 after 150"));
}

}  // namespace
}  // namespace jujubecove

#include "tests/soak/invariant_checker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "dispatch/top_records.h"
#include "platform/wire_names.h"
#include "tests/soak/soak_config.h"

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::StartsWith;

// Violates each guarantee once. Guards against a soak that passes because the
// checker misses violations.
class InvariantCheckerTest : public testing::Test {
 protected:
  InvariantCheckerTest() : checker_(1) {
    std::set<std::string> shards;
    for (int n = 0; n < kShards; ++n)
      shards.insert(ShardName(n));
    checker_.set_shards(shards);
    checker_.AddLookupService(kLookupService);
    checker_.OnStart(0);
    checker_.OnFault(0, TimePoint{});
    checker_.OnConfigVersion(1, TimePoint{});
  }

  CallerRequest MakeRequest(RequestKind kind) {
    CallerRequest request;
    request.id = "q1";
    request.kind = kind;
    request.process_number = 1;
    request.target = "/target";
    request.sent = now_;
    request.deadline = milliseconds(1000);
    request.version = 1;
    checker_.OnRequest(request);
    return request;
  }
  void Run(const std::string& service,
           const std::string& searcher,
           const std::string& target = "/target") {
    checker_.OnRun({searcher, service, "q1", "GET", target, ""}, now_);
  }
  void Answer(const CallerRequest& request,
              int status,
              HeaderFields headers,
              std::string body) {
    WireReply reply{status, std::move(headers), std::move(body), true};
    checker_.OnOutcome(request, RequestOutcome{reply, true, now_});
  }
  void AnswerSingle(const CallerRequest& request, const std::string& searcher) {
    Answer(request, 200, {{platform::kResponseStamp, searcher + ".q1"}},
           PlatformSearcher::RecordsOf(searcher));
  }
  // Answers a search with parts of three searchers.
  void AnswerSearch(const CallerRequest& request, const std::string& missing) {
    std::vector<std::string> bodies;
    std::string proofs;
    for (const char* it : {"a", "b", "c"}) {
      bodies.push_back(PlatformSearcher::RecordsOf(it));
      proofs += std::string(proofs.empty() ? "" : ", ") + it + ".q1";
    }
    Answer(
        request, 200,
        {{platform::kPartStamps, proofs}, {platform::kMissingParts, missing}},
        MergeTopRecords({bodies[0], bodies[1], bodies[2]}, kTopRecords));
  }

  InvariantChecker checker_;
  TimePoint now_{seconds(100)};
};

TEST_F(InvariantCheckerTest, AcceptsCorrectPartialAnswer) {
  CallerRequest request = MakeRequest(RequestKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  Run(ShardName(2), "c");
  AnswerSearch(request, "1");
  EXPECT_THAT(checker_.violations(), IsEmpty());
  EXPECT_EQ(checker_.success_count(), 1);
}

TEST_F(InvariantCheckerTest, ReportsPartThatDidNotRun) {
  CallerRequest request = MakeRequest(RequestKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  AnswerSearch(request, "1");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(InvariantCheckerTest, ReportsGapThatIsNotStated) {
  CallerRequest request = MakeRequest(RequestKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  Run(ShardName(2), "c");
  AnswerSearch(request, "0");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(InvariantCheckerTest, ReportsAnswerOfAnotherSearcher) {
  CallerRequest request = MakeRequest(RequestKind::kLookup);
  Run(kLookupService, "r1");
  AnswerSingle(request, "r2");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(InvariantCheckerTest, ReportsSecondRunOfPayment) {
  MakeRequest(RequestKind::kPayment);
  Run(kLookupService, "r1");
  Run(kLookupService, "r2");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("twice")));
}

TEST_F(InvariantCheckerTest, ReportsRefusalAfterRun) {
  CallerRequest request = MakeRequest(RequestKind::kPayment);
  Run(kLookupService, "r1");
  Answer(request, 503, {}, "");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("refused")));
}

TEST_F(InvariantCheckerTest, ReportsRunAfterRefusal) {
  CallerRequest request = MakeRequest(RequestKind::kPayment);
  Answer(request, 429, {}, "");
  Run(kLookupService, "r1");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("refused")));
}

TEST_F(InvariantCheckerTest, ReportsChangedTargetAndWrongService) {
  MakeRequest(RequestKind::kLookup);
  Run(ShardName(0), "a", "/other");
  EXPECT_THAT(checker_.violations(),
              ElementsAre(StartsWith("unasked"), StartsWith("route")));
}

TEST_F(InvariantCheckerTest, ReportsRunAtDrainingSearcher) {
  checker_.OnDraining("r1", now_ - InvariantChecker::kDrainBound - seconds(1));
  MakeRequest(RequestKind::kLookup);
  now_ += milliseconds(10);
  Run(kLookupService, "r1");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("drain")));
}

TEST_F(InvariantCheckerTest, ReportsConfigurationThatIsAppliedLate) {
  CallerRequest request = MakeRequest(RequestKind::kVersionProbe);
  Answer(request, 404, {}, "");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("config")));
}

TEST_F(InvariantCheckerTest, ReportsConfigurationRollbackDespiteFault) {
  CallerRequest request = MakeRequest(RequestKind::kVersionProbe);
  Run(kLookupService, "r1");
  AnswerSingle(request, "r1");
  checker_.OnFault(0, now_);
  Answer(request, 404, {}, "");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("config")));
}

TEST_F(InvariantCheckerTest, ReportsLateAnswerUnlessDaemonHadFault) {
  CallerRequest request = MakeRequest(RequestKind::kLookup);
  Run(kLookupService, "r1");
  now_ += seconds(2);
  AnswerSingle(request, "r1");
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("late")));
  checker_.OnFault(0, now_);
  AnswerSingle(request, "r1");
  EXPECT_EQ(checker_.violations().size(), 1U);
}

TEST_F(InvariantCheckerTest, ReportsRequestLostInGracefulShutdown) {
  CallerRequest request = MakeRequest(RequestKind::kLookup);
  Run(kLookupService, "r1");
  checker_.OnTerminate(0, now_);
  checker_.OnOutcome(request,
                     RequestOutcome{std::nullopt, true, now_ + seconds(1)});
  EXPECT_THAT(checker_.violations(), ElementsAre(StartsWith("lost")));
}

}  // namespace
}  // namespace jujubecove::soak

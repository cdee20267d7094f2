#include "tests/soak/promise_ledger.h"

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

// Guards against a soak that passes because it does not see what is broken:
// each promise is broken once.
class PromiseLedgerTest : public testing::Test {
 protected:
  PromiseLedgerTest() : ledger_(1) {
    std::set<std::string> shards;
    for (int n = 0; n < kShards; ++n)
      shards.insert(ShardName(n));
    ledger_.set_shards(shards);
    ledger_.AddLookupService(kLookupService);
    ledger_.OnStart(0);
    ledger_.OnFault(0, TimePoint{});
    ledger_.OnVersion(1, TimePoint{});
  }

  Ask MakeAsk(AskKind kind) {
    Ask ask;
    ask.id = "q1";
    ask.kind = kind;
    ask.process = 1;
    ask.target = "/target";
    ask.sent = now_;
    ask.deadline = milliseconds(1000);
    ask.version = 1;
    ledger_.OnAsk(ask);
    return ask;
  }
  void Run(const std::string& service,
           const std::string& searcher,
           const std::string& target = "/target") {
    ledger_.OnRun({searcher, service, "q1", "GET", target, ""}, now_);
  }
  void Answer(const Ask& ask,
              int status,
              HeaderFields headers,
              std::string body) {
    WireReply reply{status, std::move(headers), std::move(body), true};
    ledger_.OnOutcome(ask, AskOutcome{reply, true, now_});
  }
  void AnswerSingle(const Ask& ask, const std::string& searcher) {
    Answer(ask, 200, {{platform::kResponseStamp, searcher + ".q1"}},
           PlatformSearcher::RecordsOf(searcher));
  }
  // Answers a search with the parts of shards 0 to 2.
  void AnswerSearch(const Ask& ask, const std::string& missing) {
    std::vector<std::string> bodies;
    std::string proofs;
    for (const char* it : {"a", "b", "c"}) {
      bodies.push_back(PlatformSearcher::RecordsOf(it));
      proofs += std::string(proofs.empty() ? "" : ", ") + it + ".q1";
    }
    Answer(
        ask, 200,
        {{platform::kPartStamps, proofs}, {platform::kMissingParts, missing}},
        MergeTopRecords({bodies[0], bodies[1], bodies[2]}, kTopRecords));
  }

  PromiseLedger ledger_;
  TimePoint now_{seconds(100)};
};

TEST_F(PromiseLedgerTest, AcceptsTruthfulAnswers) {
  Ask ask = MakeAsk(AskKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  Run(ShardName(2), "c");
  AnswerSearch(ask, "1");
  EXPECT_THAT(ledger_.violations(), IsEmpty());
  EXPECT_EQ(ledger_.served(), 1);
}

TEST_F(PromiseLedgerTest, SeesAPartThatDidNotRun) {
  Ask ask = MakeAsk(AskKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  AnswerSearch(ask, "1");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(PromiseLedgerTest, SeesAGapThatIsNotStated) {
  Ask ask = MakeAsk(AskKind::kSearch);
  Run(ShardName(0), "a");
  Run(ShardName(1), "b");
  Run(ShardName(2), "c");
  AnswerSearch(ask, "0");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(PromiseLedgerTest, SeesAnAnswerOfAnotherSearcher) {
  Ask ask = MakeAsk(AskKind::kLookup);
  Run(kLookupService, "r1");
  AnswerSingle(ask, "r2");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("mixed")));
}

TEST_F(PromiseLedgerTest, SeesASecondRun) {
  MakeAsk(AskKind::kPayment);
  Run(kLookupService, "r1");
  Run(kLookupService, "r2");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("twice")));
}

TEST_F(PromiseLedgerTest, SeesAFalseRefusalBeforeAndAfterTheRun) {
  Ask ask = MakeAsk(AskKind::kPayment);
  Run(kLookupService, "r1");
  Answer(ask, 503, {}, "");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("refused")));
}

TEST_F(PromiseLedgerTest, SeesARunAfterTheRefusal) {
  Ask ask = MakeAsk(AskKind::kPayment);
  Answer(ask, 429, {}, "");
  Run(kLookupService, "r1");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("refused")));
}

TEST_F(PromiseLedgerTest, SeesAChangedRequestAndAForeignService) {
  MakeAsk(AskKind::kLookup);
  Run(ShardName(0), "a", "/other");
  EXPECT_THAT(ledger_.violations(),
              ElementsAre(StartsWith("unasked"), StartsWith("route")));
}

TEST_F(PromiseLedgerTest, SeesWorkForASearcherThatLeft) {
  ledger_.OnDraining("r1", now_ - PromiseLedger::kDrain - seconds(1));
  MakeAsk(AskKind::kLookup);
  now_ += milliseconds(10);
  Run(kLookupService, "r1");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("drain")));
}

TEST_F(PromiseLedgerTest, SeesAConfigurationThatIsLateOrGoesBack) {
  Ask ask = MakeAsk(AskKind::kVersionProbe);
  Answer(ask, 404, {}, "");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("config")));
}

TEST_F(PromiseLedgerTest, SeesAConfigurationThatGoesBackAfterAFault) {
  Ask ask = MakeAsk(AskKind::kVersionProbe);
  Run(kLookupService, "r1");
  AnswerSingle(ask, "r1");
  ledger_.OnFault(0, now_);
  Answer(ask, 404, {}, "");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("config")));
}

TEST_F(PromiseLedgerTest, SeesALateAnswerUnlessThereWasAFault) {
  Ask ask = MakeAsk(AskKind::kLookup);
  Run(kLookupService, "r1");
  now_ += seconds(2);
  AnswerSingle(ask, "r1");
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("late")));
  ledger_.OnFault(0, now_);
  AnswerSingle(ask, "r1");
  EXPECT_EQ(ledger_.violations().size(), 1U);
}

TEST_F(PromiseLedgerTest, SeesARequestThatAShutdownCutsOff) {
  Ask ask = MakeAsk(AskKind::kLookup);
  Run(kLookupService, "r1");
  ledger_.OnTerminate(0, now_);
  ledger_.OnOutcome(ask, AskOutcome{std::nullopt, true, now_ + seconds(1)});
  EXPECT_THAT(ledger_.violations(), ElementsAre(StartsWith("lost")));
}

}  // namespace
}  // namespace jujubecove::soak

#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using Transport = FakeSearcherTransport;

// Load: the searchers of this VM's availability zone refuse two in five
// requests while their registrations are good, as half of all searchers did on
// patchline-hq-grown's scale-1. Other zones have searchers that refuse none.
class GreySearchersTest : public DispatchFixture {
 protected:
  static constexpr int kShards = 6;

  void AddShards() {
    Configure(kShards, 1.0);
    for (int shard = 0; shard < kShards; ++shard) {
      std::string service = "s" + std::to_string(shard);
      for (int n = 0; n < 3; ++n) {
        SearcherEntry entry = MakeSearcher(service, n);
        entry.zone = ZoneName(n == 0 ? "zone" : "other");
        dispatcher_.OnSearcherChange(SearcherChange::kAdded, entry);
      }
    }
  }

  // Answers all attempts in flight 5 ms after they were sent.
  void AnswerAll() {
    Advance(5);
    while (!transport_.pending().empty()) {
      const SearcherEntry searcher =
          transport_.pending().begin()->second.searcher;
      bool grey = searcher.zone.value() == "zone";
      grey_attempts_ += grey ? 1 : 0;
      AttemptReply reply =
          Transport::Success("p" + std::to_string(++proofs_), "");
      if (grey && refuses_(random_))
        reply = Transport::Failure(AttemptResult::kRejected, 503);
      transport_.Answer(searcher.id.value(), reply);
    }
  }

  // Returns how many of the requests were answered in full.
  int Play(int requests) {
    int answered = 0;
    for (int n = 0; n < requests; ++n) {
      Submit("/scatter/1");
      AnswerAll();
      answered += answer_ && !answer_->error ? 1 : 0;
      Advance(20);
    }
    return answered;
  }

  RandomEngine random_{1};
  std::bernoulli_distribution refuses_{0.4};
  int proofs_ = 0;
  int grey_attempts_ = 0;
};

TEST_F(GreySearchersTest, CallersAreServedByZonesThatDoNotRefuse) {
  AddShards();
  Play(100);
  grey_attempts_ = 0;
  EXPECT_GE(Play(400), 396);
  EXPECT_LE(grey_attempts_, 400 * kShards / 10);
}

}  // namespace
}  // namespace jujubecove

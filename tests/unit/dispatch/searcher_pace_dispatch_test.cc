#include <algorithm>
#include <map>

#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Two warm searchers and one that has just started, which takes 1.6 times as
// long for its first 3 s. Load: one request each 5 ms; a searcher takes 10 ms
// for one and works on two at a time.
class SearcherPaceDispatchTest : public DispatchFixture {
 protected:
  SearcherPaceDispatchTest() {
    DispatchOptions options = Options();
    options.searcher_pace = true;
    dispatcher_.SetOptions(options);
    Configure(1, 1.0);
  }

  // Sends requests for `time` and returns how many each searcher got.
  std::map<std::string, int> Load(Duration time) {
    std::map<std::string, int> sent;
    TimePoint end = timers_.Now() + time;
    while (timers_.Now() < end) {
      std::size_t before = transport_.send_order().size();
      Submit("/single/1");
      for (std::size_t n = before; n < transport_.send_order().size(); ++n) {
        std::string searcher = transport_.send_order()[n];
        ++sent[searcher];
        most_in_progress_ =
            std::max(most_in_progress_, ++in_progress_[searcher]);
        timers_.ScheduleAfter(ServiceTime(searcher), [this, searcher] {
          --in_progress_[searcher];
          transport_.Succeed(searcher);
        });
      }
      Advance(5);
    }
    return sent;
  }
  Duration ServiceTime(const std::string& searcher) const {
    bool cold = searcher == "single.2" && timers_.Now() < cold_until_;
    return cold ? milliseconds(16) : milliseconds(10);
  }

  TimePoint cold_until_{};
  std::map<std::string, int> in_progress_;
  int most_in_progress_ = 0;
};

// Guards against a searcher that is flooded when it starts, and against one
// that is left idle once it answers like its neighbours.
TEST_F(SearcherPaceDispatchTest, FindsPaceOfSearcherThatStarts) {
  AddSearchers("single", 2);
  Load(std::chrono::seconds(2));
  cold_until_ = timers_.Now() + std::chrono::seconds(3);
  dispatcher_.OnSearcherChange(SearcherChange::kAdded,
                               MakeSearcher("single", 2));
  std::map<std::string, int> cold = Load(std::chrono::seconds(3));
  EXPECT_GT(cold["single.2"], 0);
  EXPECT_LT(cold["single.2"], cold["single.0"]);
  Load(std::chrono::seconds(1));
  std::map<std::string, int> warm = Load(std::chrono::seconds(3));
  EXPECT_GT(warm["single.2"], warm["single.0"] / 2);
}

// Guards against refusing work for caution when all searchers of a service have
// been restarted.
TEST_F(SearcherPaceDispatchTest, ServesWhenAllSearchersAreNew) {
  AddSearchers("single", 3);
  std::map<std::string, int> sent = Load(std::chrono::seconds(1));
  EXPECT_GE(sent["single.0"] + sent["single.1"] + sent["single.2"], 200);
}

}  // namespace
}  // namespace jujubecove

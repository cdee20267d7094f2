#include <map>
#include <string>

#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load: a VM with one request a second, and a searcher that closes connections
// that other VMs need. A request on a new connection takes 6 ms longer.
class ConnectionChoiceTest : public DispatchFixture {
 protected:
  void SetUp() override {
    Configure(1, 1.0);
    AddSearchers("single", 3);
    transport_.KeepConnections();
  }

  // Serves one request in the time of its searcher. Returns the searcher.
  std::string Serve(const std::string& slow = "") {
    Submit("/single/1");
    std::string searcher = PendingAt("single");
    bool is_new = !transport_.HasIdleConnection(InstanceId(searcher));
    Advance((searcher == slow ? 40 : 5) + (is_new ? 6 : 0));
    transport_.Succeed(searcher);
    // A hedge, if one was sent.
    for (int n = 0; n < 3; ++n)
      transport_.Succeed("single." + std::to_string(n));
    timers_.AdvanceBy(seconds(1));
    return searcher;
  }

  // Serves requests until the cost of a connection has been measured.
  void Learn() {
    for (int n = 0; n < 60; ++n) {
      transport_.CloseConnections();
      Serve();
      Serve();
    }
  }
};

// Guards against requests that open a connection to another searcher although
// an equally good one has an idle connection.
TEST_F(ConnectionChoiceTest, PrefersSearcherWithIdleConnection) {
  Learn();
  int same = 0;
  for (int trial = 0; trial < 30; ++trial) {
    // All searchers get new connections for some time, so that none of them has
    // been faster than the others.
    for (int n = 0; n < 20; ++n) {
      transport_.CloseConnections();
      Serve();
    }
    transport_.CloseConnections();
    std::string first = Serve();
    same += Serve() == first ? 1 : 0;
  }
  EXPECT_EQ(same, 30);
}

// Guards against a VM that stays with a slow searcher because of its
// connection.
TEST_F(ConnectionChoiceTest, LeavesSlowSearcherInSpiteOfItsConnection) {
  Learn();
  transport_.CloseConnections();
  std::string slow = Serve();
  int at_slow = 0;
  for (int n = 0; n < 40; ++n)
    at_slow += Serve(slow) == slow ? 1 : 0;
  EXPECT_LT(at_slow, 8);
}

// Guards against VMs that all keep connections to the same searcher.
TEST_F(ConnectionChoiceTest, FirstConnectionsAreSpreadOverSearchers) {
  Learn();
  std::map<std::string, int> chosen;
  for (int n = 0; n < 60; ++n) {
    transport_.CloseConnections();
    ++chosen[Serve()];
  }
  EXPECT_EQ(chosen.size(), 3U);
  for (const auto& [searcher, count] : chosen)
    EXPECT_GT(count, 8) << searcher;
}

}  // namespace
}  // namespace jujubecove

#include <mutex>

#include "tests/unit/front/front_daemon_fixture.h"

namespace jujubecove {
namespace {

std::string ConfigWithKey(int version, const std::string& key) {
  std::string config = kConfig;
  config.replace(config.find("\"Version\": 1"), 12,
                 "\"Version\": " + std::to_string(version));
  config.pop_back();
  return config + R"(, "Tenants": [{"Name": "w", "ApiKeys": [")" + key +
         R"("]}]})";
}

class ApiKeyTest : public FrontDaemonFixture {
 protected:
  unsigned Send(const std::string& target, const std::string& key) {
    return Get(config_.listen_callers, target, "r1", 1500,
               {{"Authorization", "Token " + key}, {"Tenant", "forged"}})
        .status;
  }
};

// Guards against keys that reach a searcher and against revoked keys that stay
// valid, in the wired daemon.
TEST_F(ApiKeyTest, ServesByKeyOfNewestVersion) {
  std::mutex mutex;
  std::vector<SearcherRun> runs;
  for (const auto& it : searchers_) {
    it->set_observer([&](const SearcherRun& run) {
      std::scoped_lock lock(mutex);
      runs.push_back(run);
    });
  }
  store_.store().Set("op/config", ConfigWithKey(1, "first"));
  Start();
  ASSERT_TRUE(AwaitReady());
  EXPECT_EQ(Send("/g/1", "first"), 200U);
  EXPECT_EQ(Send("/s/1", "other"), 401U);
  EXPECT_EQ(SendRequest("/s/1").status, 401U);
  EXPECT_EQ(Send("/x/1", "other"), 404U);
  RunOnServerThread(
      [this] { store_.store().Set("op/config", ConfigWithKey(2, "second")); });
  EXPECT_TRUE(Await([this] { return Send("/s/1", "first") == 401U; }));
  EXPECT_EQ(Send("/s/1", "second"), 200U);
  std::scoped_lock lock(mutex);
  ASSERT_GE(runs.size(), 3U);
  for (const SearcherRun& it : runs) {
    EXPECT_EQ(it.workspace, "w");
    EXPECT_EQ(it.authorization, "");
  }
}

}  // namespace
}  // namespace jujubecove

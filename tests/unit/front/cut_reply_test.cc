#include <gmock/gmock.h>

#include "tests/standin/scripted_server.h"
#include "tests/unit/front/front_daemon_fixture.h"

namespace jujubecove {
namespace {

constexpr char kCutConfig[] = R"({"Version": 1, "Routes": [
  {"Name": "g", "Host": "h", "Prefix": "/g/", "Kind": "idempotent",
   "TimeoutMs": 2000, "TargetLatencyMs": 200, "MaxAttempts": 1, "TopK": 2,
   "MinShardShare": 1.0, "Gather": ["cut"]},
  {"Name": "s", "Host": "h", "Prefix": "/s/", "Kind": "non_idempotent",
   "TimeoutMs": 2000, "TargetLatencyMs": 200, "MaxAttempts": 1,
   "Service": "cut"}],
  "Services": [{"Name": "cut", "MaxConnections": 26}]})";
constexpr char kCutReply[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: proof\r\n"
    "Content-Length: 16\r\n\r\n0123456789abcdef";

class CutReplyTest : public FrontDaemonFixture {
 protected:
  CutReplyTest()
      : searcher_(server_context_, [this](const std::string&) {
          return ScriptedServer::Reaction{reply_.substr(0, size_), true};
        }) {}
  void TearDown() override { StopAll(); }

  const std::string reply_ = kCutReply;
  std::atomic<std::size_t> size_ = 0;
  ScriptedServer searcher_;
};

// Guards against a 200 with an empty or short body when a searcher ends its
// connection within the head or the body of its reply.
TEST_F(CutReplyTest, CallerGetsNoSuccess) {
  store_.store().Set("op/config", kCutConfig);
  store_.store().Set(
      "servers/cut.0",
      R"({"Service": "cut", "Zone": "nyeri", "Version": "v1", "Slots": 2,
          "State": "ready", "WarmupLeftMs": 0, "Sequence": 1, "born": 1,
          "Address": ")" +
          searcher_.address().ToString() + R"("})");
  Start();
  ASSERT_TRUE(AwaitReady());
  for (; size_ < reply_.size(); ++size_) {
    for (const char* target : {"/g/1", "/s/1"}) {
      FrontReply answer = SendRequest(target);
      EXPECT_GE(answer.status, 502U) << size_ << target;
      EXPECT_NE(answer.status, 503U) << size_ << target;
      EXPECT_EQ(answer.headers.count("Response-Stamp"), 0U) << size_ << target;
    }
  }
  for (const char* target : {"/g/1", "/s/1"})
    EXPECT_EQ(SendRequest(target).status, 200U) << target;
}

}  // namespace
}  // namespace jujubecove

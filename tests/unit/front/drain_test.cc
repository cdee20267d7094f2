#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "tests/unit/front/front_daemon_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPatientConfig[] = R"({"Version": 1, "Routes": [
  {"Name": "g", "Host": "h", "Prefix": "/g/", "Kind": "idempotent",
   "TimeoutMs": 20000, "TargetLatencyMs": 15000, "MaxAttempts": 1, "TopK": 2,
   "MinShardShare": 0.5, "Gather": ["a", "b"]},
  {"Name": "s", "Host": "h", "Prefix": "/s/", "Kind": "non_idempotent",
   "TimeoutMs": 20000, "TargetLatencyMs": 200, "MaxAttempts": 1,
   "Service": "a"}],
  "Services": [{"Name": "a", "MaxConnections": 26},
               {"Name": "b", "MaxConnections": 26}],
  "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 1000,
             "HeaderTimeoutMs": 20000, "IdleTimeoutMs": 20000}})";

// What callers get when the daemon is told to stop.
class DrainTest : public FrontDaemonFixture {
 protected:
  DrainTest() { config_.drain_grace = seconds(3); }

  void StartReady() {
    store_.store().Set("op/config", kPatientConfig);
    Start();
    ASSERT_TRUE(AwaitReady());
  }
  void SetServiceTime(Duration time) {
    for (const auto& it : searchers_)
      it->set_service_time(time);
  }
  std::future<FrontReply> SendPatient(const std::string& target) {
    std::string id = "p" + std::to_string(++sent_);
    return std::async(std::launch::async, [this, target, id] {
      return Get(config_.listen_callers, target, id, 20000);
    });
  }
  // Waits until the daemon has stopped, and closes what it has left open.
  void AwaitExit() {
    daemon_thread_.join();
    daemon_.reset();
  }
  int Runs() const {
    int runs = 0;
    for (const auto& it : searchers_)
      runs += it->runs();
    return runs;
  }

  int sent_ = 0;
};

// Guards against a connection that is closed without an answer when the grace
// ends while a searcher is still at work, also on a request that came late in
// it and must not run twice.
TEST_F(DrainTest, RequestsAtSearchersAreAnsweredWhenGraceEnds) {
  StartReady();
  SetServiceTime(seconds(15));
  std::future<FrontReply> early = SendPatient("/s/1");
  std::this_thread::sleep_for(milliseconds(200));
  raise(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1100));
  std::future<FrontReply> late = SendPatient("/s/1");
  AwaitExit();
  EXPECT_EQ(early.get().status, 502U);
  EXPECT_EQ(late.get().status, 502U);
  EXPECT_EQ(Runs(), 2);
}

// Guards against a connection that is closed without an answer while its
// request waits for a searcher: the caller must learn that it has not run.
TEST_F(DrainTest, WaitingRequestsAreRefusedAsNotRun) {
  StartReady();
  SetServiceTime(seconds(15));
  constexpr int kRequests = 12;
  std::vector<std::future<FrontReply>> answers;
  for (int n = 0; n < kRequests; ++n)
    answers.push_back(SendPatient("/s/1"));
  std::this_thread::sleep_for(milliseconds(300));
  int runs = Runs();
  ASSERT_GT(runs, 0);
  ASSERT_LT(runs, kRequests);
  raise(SIGTERM);
  AwaitExit();
  int refused = 0;
  for (std::future<FrontReply>& it : answers) {
    FrontReply answer = it.get();
    EXPECT_TRUE(answer.status == 502 || answer.status == 503) << answer.status;
    refused += answer.status == 503 ? 1 : 0;
  }
  EXPECT_EQ(refused, kRequests - runs);
  EXPECT_EQ(Runs(), runs);
}

// Guards against a request that is passed on late in the grace, although such
// requests take longer than what is left of it.
TEST_F(DrainTest, RequestsThatCannotFinishInTimeAreRefusedAtOnce) {
  StartReady();
  SetServiceTime(milliseconds(1600));
  std::vector<std::future<FrontReply>> earlier;
  for (int n = 0; n < 4; ++n)
    earlier.push_back(SendPatient("/s/1"));
  for (std::future<FrontReply>& it : earlier)
    EXPECT_EQ(it.get().status, 200U);
  int runs = Runs();
  raise(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1200));
  std::future<FrontReply> late = SendPatient("/s/1");
  bool at_once = late.wait_for(milliseconds(500)) == std::future_status::ready;
  EXPECT_TRUE(at_once);
  AwaitExit();
  FrontReply answer = late.get();
  EXPECT_EQ(answer.status, 503U);
  EXPECT_EQ(answer.headers["Connection"], "close");
  EXPECT_EQ(Runs(), runs);
}

// Guards against parts that are dropped although they make up an answer.
TEST_F(DrainTest, ReadyPartsAreDeliveredWhenGraceEnds) {
  StartReady();
  searchers_[2]->set_service_time(seconds(15));
  std::future<FrontReply> answer = SendPatient("/g/1");
  std::this_thread::sleep_for(milliseconds(200));
  raise(SIGTERM);
  AwaitExit();
  FrontReply reply = answer.get();
  EXPECT_EQ(reply.status, 200U);
  EXPECT_EQ(reply.headers["Missing-Parts"], "1");
}

// Guards against a connection that is closed without an answer while its
// request is being read.
TEST_F(DrainTest, HalfReadRequestIsRefusedWhenGraceEnds) {
  StartReady();
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(config_.listen_callers.ip),
      config_.listen_callers.port));
  boost::asio::write(
      socket,
      boost::asio::buffer(std::string("GET /s/1 HTTP/1.1\r\nHost: h\r\n")));
  std::this_thread::sleep_for(milliseconds(200));
  raise(SIGTERM);
  AwaitExit();
  std::string answer;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

}  // namespace
}  // namespace jujubecove

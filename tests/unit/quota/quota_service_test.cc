#include "quota/quota_service.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <optional>

#include "kernel/asio_timer_service.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// One entry daemon's rate limits on a loopback address.
struct Daemon {
  Daemon(boost::asio::io_context& context,
         TimerService& timers,
         DecisionLog& log,
         FleetDirectory& fleet,
         const DaemonEntry& own)
      : server(context, timers, 8),
        client(context, timers),
        service({timers, server, client, log, registry},
                {std::chrono::seconds(5), 0.1, 20.0},
                own,
                fleet,
                [&timers] { return timers.NowWithSuspension(); }) {}

  MetricsRegistry registry;
  PeerServer server;
  PeerClient client;
  QuotaService service;
};

// Two daemons of one zone, of which the second asks the first for the tokens of
// workspace "w".
class QuotaServiceTest : public testing::Test {
 protected:
  QuotaServiceTest()
      : log_file_(std::tmpfile(), &std::fclose),
        sink_(fileno(log_file_.get()), 65536),
        log_(sink_, "vm", 100),
        timers_(context_) {
    for (int n = 0; n < 2; ++n) {
      entries_[n].vm = VmId(n == 0 ? "a" : "b");
      entries_[n].zone = ZoneName("zone");
      entries_[n].incarnation = IncarnationId(1);
      entries_[n].peer_address = FreeAddress();
      daemons_[n] = std::make_unique<Daemon>(context_, timers_, log_, fleet_,
                                             entries_[n]);
      EXPECT_TRUE(daemons_[n]->server.Listen(*entries_[n].peer_address));
    }
    ServingConfig config;
    for (int n = 0; n < 8; ++n) {
      Workspace workspace;
      workspace.name = WorkspaceName("w" + std::to_string(n));
      workspace.rate_per_second = 40.0;
      workspace.burst = 40.0;
      config.workspaces.push_back(workspace);
    }
    for (const std::unique_ptr<Daemon>& it : daemons_)
      it->service.SetTable(std::make_shared<const RouteTable>(config));
    for (const DaemonEntry& it : entries_)
      fleet_.Put(it);
    context_.run_for(milliseconds(500));
  }

  static SocketAddress FreeAddress() {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor probe(
        context, boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::make_address("127.0.0.1"), 0));
    return SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
  }

  void RunUntilAnswered(std::size_t count) {
    while (answers_.size() < count)
      context_.run_one();
  }
  // Submits to the second daemon.
  std::shared_ptr<PendingRequest> Submit(const std::string& workspace) {
    ++submitted_;
    auto request = std::make_shared<ForwardedRequest>();
    request->workspace = WorkspaceName(workspace);
    return daemons_[1]->service.Submit(
        request, [this](CallerAnswer it) { answers_.push_back(std::move(it)); },
        [this](const ForwardedRequestPtr&,
               const QuotaService::AnswerHandler& done) {
          ++passed_on_;
          CallerAnswer answer;
          answer.status = 200;
          done(std::move(answer));
          return nullptr;
        });
  }
  // A workspace of which only the first daemon is owner.
  std::string OwnedByOther() {
    for (int n = 0; n < 8; ++n) {
      std::string name = "w" + std::to_string(n);
      if (Submit(name))
        return name;
    }
    return "";
  }

  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file_;
  LineSink sink_;
  DecisionLog log_;
  boost::asio::io_context context_;
  AsioTimerService timers_;
  FleetDirectory fleet_;
  std::array<DaemonEntry, 2> entries_;
  std::array<std::unique_ptr<Daemon>, 2> daemons_;
  std::vector<CallerAnswer> answers_;
  std::size_t submitted_ = 0;
  int passed_on_ = 0;
};

// Guards against requests that get no answer, or two, when their tokens come
// from another VM or run out.
TEST_F(QuotaServiceTest, AnswersEachRequestOnce) {
  std::string workspace = OwnedByOther();
  ASSERT_FALSE(workspace.empty());
  std::size_t before = submitted_;
  RunUntilAnswered(before);
  EXPECT_EQ(answers_.back().status, 200);
  for (int n = 0; n < 200; ++n)
    Submit(workspace);
  RunUntilAnswered(before + 200);
  context_.run_for(milliseconds(50));
  EXPECT_EQ(answers_.size(), before + 200);
  EXPECT_EQ(answers_.back().error, ErrorKind::kRateLimited);
  EXPECT_GT(*answers_.back().retry_after, Duration(0));
}

// Guards against a caller that left and is passed on or answered all the same,
// and against a stop that leaves a waiting request without its refusal.
TEST_F(QuotaServiceTest, EndsRequestsThatWait) {
  std::string workspace = OwnedByOther();
  std::size_t before = submitted_;
  RunUntilAnswered(before);
  int passed_on = passed_on_;
  std::shared_ptr<PendingRequest> left = Submit(workspace);
  std::shared_ptr<PendingRequest> refused = Submit(workspace);
  ASSERT_TRUE(left && refused);
  left->Abandon();
  refused->RefuseIfNotRun();
  context_.run_for(milliseconds(200));
  EXPECT_EQ(passed_on_, passed_on);
  ASSERT_EQ(answers_.size(), before + 1);
  EXPECT_EQ(answers_.back().error, ErrorKind::kShuttingDown);
}

}  // namespace
}  // namespace jujubecove

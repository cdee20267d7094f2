#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>

#include "handover/query_handover.h"
#include "kernel/asio_timer_service.h"
#include "tests/unit/dispatch/fake_searcher_transport.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SocketAddress FreeAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor probe(
      context, boost::asio::ip::tcp::endpoint(
                   boost::asio::ip::make_address("127.0.0.1"), 0));
  return SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
}

RouteTablePtr MakeTable(std::uint64_t version) {
  ServingConfig config;
  config.version = ConfigVersion(version);
  Route route;
  route.name = "r";
  route.host = "host";
  route.prefix = "/r/";
  route.idempotent = true;
  route.timeout = seconds(2);
  route.target_latency = milliseconds(200);
  route.max_attempts = 2;
  route.scatter = ScatterSpec{{ServiceName("s")}, 3, 1.0};
  config.routes.push_back(route);
  config.services.push_back({ServiceName("s"), 10});
  return std::make_shared<const RouteTable>(config);
}

// An entry daemon without its callers. Its searcher answers when told to.
struct Daemon {
  Daemon(boost::asio::io_context& context,
         TimerService& timers,
         LineSink& sink,
         const std::string& name)
      : log(sink, name, 1000),
        dispatcher(timers, searchers, log, registry, {}, 1),
        peer_server(context, timers, 8),
        peer_client(context, timers) {
    own.vm = VmId(name);
    own.zone = ZoneName("zone");
    own.incarnation = IncarnationId(1);
    own.peer_address = FreeAddress();
    own.query_address = FreeAddress();
    HandoverOptions options{own.vm, own.zone,  0.0, *own.query_address,
                            8,      1U << 20U, 1};
    handover = std::make_unique<QueryHandover>(context, timers, dispatcher,
                                               fleet, peer_server, peer_client,
                                               log, registry, options);
    dispatcher.SetTable(MakeTable(1));
    SearcherEntry searcher;
    searcher.id = InstanceId("s.0");
    searcher.service = ServiceName("s");
    searcher.zone = own.zone;
    searcher.slots = 8;
    dispatcher.OnSearcherChange(SearcherChange::kAdded, searcher);
  }

  DecisionLog log;
  MetricsRegistry registry;
  FakeSearcherTransport searchers;
  Dispatcher dispatcher;
  FleetDirectory fleet;
  PeerServer peer_server;
  PeerClient peer_client;
  DaemonEntry own;
  std::unique_ptr<QueryHandover> handover;
};

// Load: a VM whose runs take 160 ms of a target of 200 ms, and a VM of the same
// zone that takes 10 ms.
class QueryHandoverTest : public testing::Test {
 protected:
  QueryHandoverTest()
      : timers_(context_),
        log_file_(std::tmpfile(), &std::fclose),
        sink_(fileno(log_file_.get()), 1U << 20U),
        small_(context_, timers_, sink_, "small"),
        large_(context_, timers_, sink_, "large") {
    for (Daemon* it : {&small_, &large_}) {
      it->fleet.Put(small_.own);
      it->fleet.Put(large_.own);
      EXPECT_TRUE(it->peer_server.Listen(*it->own.peer_address));
      EXPECT_TRUE(it->handover->Start());
    }
    for (int n = 0; n < 3; ++n) {
      RunAt(large_, milliseconds(10));
      RunAt(small_, milliseconds(160));
    }
  }

  bool Await(const std::function<bool()>& condition) {
    TimePoint limit = timers_.Now() + seconds(5);
    while (!condition() && timers_.Now() < limit)
      context_.run_one_for(milliseconds(5));
    return condition();
  }
  void Wait(Duration time) {
    TimePoint end = timers_.Now() + time;
    Await([this, end] { return timers_.Now() >= end; });
  }

  void Submit(Daemon& daemon) {
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "id" + std::to_string(++submitted_);
    request->method = "POST";
    request->target = "/r/x?q=1";
    request->host = "host";
    request->headers = {{"Accept", "a"}, {"Jujubecove-Handover-Id", "forged"}};
    request->workspace = WorkspaceName("w");
    request->body = std::make_shared<const std::string>("body");
    request->deadline = seconds(1);
    request->received = timers_.Now();
    answer_.reset();
    pending_ = daemon.handover->Submit(
        request, [this](CallerAnswer answer) { answer_ = std::move(answer); });
  }
  void RunAt(Daemon& daemon, Duration time) {
    Submit(daemon);
    Wait(time);
    daemon.searchers.Succeed("s.0", std::string(16, 'r'));
    EXPECT_TRUE(answer_);
  }
  // Submits at the small VM until a query is under way at the large one.
  bool HandOver() {
    for (int n = 0; n < 20; ++n) {
      Submit(small_);
      Await([this] {
        return !small_.searchers.pending().empty() ||
               !large_.searchers.pending().empty();
      });
      if (!large_.searchers.pending().empty())
        return true;
      small_.searchers.Succeed("s.0", std::string(16, 'r'));
      Wait(milliseconds(30));
    }
    return false;
  }
  static std::string Metrics(Daemon& daemon) {
    return daemon.registry.ToPrometheus();
  }

  boost::asio::io_context context_;
  AsioTimerService timers_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file_;
  LineSink sink_;
  Daemon small_;
  Daemon large_;
  std::shared_ptr<PendingRequest> pending_;
  std::optional<CallerAnswer> answer_;
  int submitted_ = 0;
};

TEST_F(QueryHandoverTest, AnswerReachesCallerUnchanged) {
  ASSERT_TRUE(HandOver());
  const ForwardedRequest& request = *large_.searchers.last_request();
  EXPECT_EQ(request.id, "id" + std::to_string(submitted_));
  EXPECT_EQ(request.method, "POST");
  EXPECT_EQ(request.target, "/r/x?q=1");
  EXPECT_EQ(request.host, "host");
  ASSERT_EQ(request.headers.size(), 1U);
  EXPECT_EQ(request.headers[0].name, "Accept");
  EXPECT_EQ(request.workspace, WorkspaceName("w"));
  EXPECT_EQ(*request.body, "body");
  EXPECT_EQ(request.deadline, seconds(1));
  large_.searchers.Succeed("s.0", std::string(16, 'z'));
  ASSERT_TRUE(Await([this] { return answer_.has_value(); }));
  EXPECT_EQ(answer_->status, 200);
  EXPECT_EQ(answer_->body, std::string(16, 'z'));
  EXPECT_EQ(answer_->part_proofs, std::vector<std::string>{"proof-s.0"});
  EXPECT_TRUE(answer_->headers.empty());
  EXPECT_TRUE(small_.searchers.pending().empty());
}

TEST_F(QueryHandoverTest, ErrorReachesCallerUnchanged) {
  ASSERT_TRUE(HandOver());
  large_.searchers.Answer(
      "s.0", FakeSearcherTransport::Failure(AttemptResult::kBroken));
  ASSERT_TRUE(Await([this] { return answer_.has_value(); }));
  EXPECT_EQ(answer_->error, ErrorKind::kShardsUnavailable);
  EXPECT_TRUE(small_.searchers.pending().empty());
}

// Guards against searchers that work for a caller who has left.
TEST_F(QueryHandoverTest, CallerThatLeavesEndsTheRunThere) {
  ASSERT_TRUE(HandOver());
  pending_->Abandon();
  EXPECT_TRUE(Await([this] { return large_.searchers.pending().empty(); }));
  EXPECT_FALSE(answer_);
}

// Guards against a query that runs twice, or waits for its time limit, when the
// VM that took it over freezes.
TEST_F(QueryHandoverTest, SilentVmFailsTheQueryShortlyAfterItsTarget) {
  ASSERT_TRUE(HandOver());
  TimePoint received = timers_.Now();
  ASSERT_TRUE(Await([this] { return answer_.has_value(); }));
  EXPECT_EQ(answer_->error, ErrorKind::kDeadlineExceeded);
  EXPECT_LT(timers_.Now() - received, milliseconds(900));
  EXPECT_TRUE(small_.searchers.pending().empty());
}

// Guards against callers that get an error although the query could run here.
TEST_F(QueryHandoverTest, RefusedQueryRunsHere) {
  ASSERT_TRUE(HandOver());
  large_.searchers.Succeed("s.0", std::string(16, 'r'));
  ASSERT_TRUE(Await([this] { return answer_.has_value(); }));
  large_.dispatcher.SetTable(MakeTable(2));
  for (int n = 0; n < 5; ++n) {
    Submit(small_);
    ASSERT_TRUE(Await([this] { return !small_.searchers.pending().empty(); }));
    small_.searchers.Succeed("s.0", std::string(16, 'r'));
    EXPECT_TRUE(answer_ && !answer_->error);
  }
  EXPECT_NE(Metrics(large_).find("refused_total{reason=\"configuration\"} 1"),
            std::string::npos);
}

// Guards against a stopping VM that drops what it took over, and against
// callers who pay for its stop.
TEST_F(QueryHandoverTest, StoppingVmFinishesWhatItTookOver) {
  ASSERT_TRUE(HandOver());
  large_.handover->BeginDrain();
  EXPECT_EQ(large_.handover->taken_over(), 1);
  large_.handover->RefuseIfNotRun();
  large_.searchers.Succeed("s.0", std::string(16, 'r'));
  ASSERT_TRUE(Await([this] { return answer_.has_value(); }));
  EXPECT_FALSE(answer_->error);
  EXPECT_EQ(large_.handover->taken_over(), 0);
  for (int n = 0; n < 5; ++n) {
    Submit(small_);
    ASSERT_TRUE(Await([this] { return !small_.searchers.pending().empty(); }));
    small_.searchers.Succeed("s.0", std::string(16, 'r'));
    EXPECT_TRUE(answer_ && !answer_->error);
  }
}

}  // namespace
}  // namespace jujubecove

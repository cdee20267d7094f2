#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "raw_searcher.h"
#include "upstream/http_upstream_transport.h"

namespace jujubecove {

// A transport and raw searchers on real sockets of one event loop, with a clock
// that only the test advances.
class TransportFixture : public testing::Test {
 protected:
  TransportFixture() { CreateTransport(UpstreamOptions()); }

  void CreateTransport(const UpstreamOptions& options) {
    transport = std::make_unique<HttpUpstreamTransport>(
        context, timer, IncarnationId(0xabc), 1, options);
    transport->SetReplyHandler(
        [this](UpstreamReply reply) { replies.push_back(std::move(reply)); });
  }

  // Runs the event loop until `done`. The time limit keeps a failing test from
  // hanging.
  bool RunUntil(const std::function<bool()>& done) {
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
      if (std::chrono::steady_clock::now() > limit)
        return false;
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  // Runs all pending work. Loopback delivers within the sending call, so after
  // a few empty polls nothing is in transit.
  void RunUntilIdle() {
    for (int empty_polls = 0; empty_polls < 3;) {
      context.restart();
      empty_polls = context.poll() == 0 ? empty_polls + 1 : 0;
    }
  }

  // Advances the clock in steps and runs the pending work after each.
  void Advance(Duration total, Duration step = std::chrono::milliseconds(2)) {
    for (Duration n{}; n < total; n += step) {
      timer.AdvanceBy(step);
      RunUntilIdle();
    }
  }

  RawSearcher& AddSearcher(RawSearcher::Handler handler,
                           std::size_t share = 1) {
    searchers.push_back(
        std::make_unique<RawSearcher>(context, std::move(handler)));
    RawSearcher& searcher = *searchers.back();
    transport->SetConnectionShare(searcher.id(), share);
    EXPECT_TRUE(RunUntil([&] { return searcher.sessions.size() == share; }));
    RunUntilIdle();
    return searcher;
  }

  UpstreamRequest Request(const RawSearcher& searcher) {
    UpstreamRequest request;
    request.attempt = AttemptId(++last_attempt);
    request.request = RequestId(5);
    request.searcher = searcher.id();
    request.kind = KindName("lookup");
    request.shard = ShardId("s0");
    request.map_version = ShardMapVersion(7);
    request.deadline = timer.Now() + std::chrono::milliseconds(400);
    request.body = std::make_shared<const std::string>("{}");
    return request;
  }

  // Sends an attempt and waits for its reply without advancing the clock.
  UpstreamReply SendAndWait(UpstreamRequest request) {
    std::size_t count = replies.size();
    transport->Send(std::move(request));
    EXPECT_EQ(replies.size(), count)
        << "the reply handler was called from within Send()";
    EXPECT_TRUE(RunUntil([&] { return replies.size() > count; }));
    return replies.empty() ? UpstreamReply() : replies.back();
  }

  boost::asio::io_context context;
  FakeTimerService timer;
  std::unique_ptr<HttpUpstreamTransport> transport;
  std::vector<std::unique_ptr<RawSearcher>> searchers;
  std::vector<UpstreamReply> replies;
  std::uint64_t last_attempt = 0;
};

}  // namespace jujubecove

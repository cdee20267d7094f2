#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/dispatcher.h"
#include "kernel/fake_timer_service.h"
#include "tests/unit/dispatch/fake_searcher_transport.h"

namespace jujubecove {

// A dispatcher on the fake clock with one scatter route ("/scatter/") over
// shards s0, s1, ... and two routes to service "single", one idempotent
// ("/single/") and one not ("/once/"). Searchers are called SERVICE.N.
class DispatchFixture : public testing::Test {
 protected:
  static constexpr int kMaxAttempts = 2;

  DispatchFixture()
      : log_file_(std::tmpfile(), &std::fclose),
        sink_(fileno(log_file_.get()), 1U << 20U),
        log_(sink_, "vm", 1000),
        dispatcher_(timers_, transport_, log_, registry_, Options(), 1) {}

  static DispatchOptions Options() {
    DispatchOptions options;
    options.own_zone = ZoneName("zone");
    options.retry_budget.slack = 100.0;
    options.caller_round_trip = std::chrono::milliseconds(10);
    options.deadline_margin = std::chrono::milliseconds(20);
    return options;
  }

  static Route MakeRoute(const std::string& prefix, bool idempotent) {
    Route route;
    route.name = prefix;
    route.host = "host";
    route.prefix = prefix;
    route.idempotent = idempotent;
    route.timeout = std::chrono::milliseconds(1000);
    route.target_latency = std::chrono::milliseconds(100);
    route.max_attempts = kMaxAttempts;
    return route;
  }

  // Also advances the clock until the whole slack is available.
  void Configure(int shards, double min_share) {
    timers_.AdvanceBy(std::chrono::seconds(20));
    ServingConfig config;
    config.version = ConfigVersion(1);
    Route scatter = MakeRoute("/scatter/", true);
    scatter.scatter = ScatterSpec{{}, 3, min_share};
    for (int n = 0; n < shards; ++n) {
      ServiceName name("s" + std::to_string(n));
      scatter.scatter->shards.push_back(name);
      config.services.push_back({name, 26});
    }
    config.routes.push_back(std::move(scatter));
    for (bool idempotent : {true, false}) {
      config.routes.push_back(
          MakeRoute(idempotent ? "/single/" : "/once/", idempotent));
      config.routes.back().split = {{ServiceName("single"), 1.0}};
    }
    config.services.push_back({ServiceName("single"), 26});
    dispatcher_.SetTable(std::make_shared<const RouteTable>(config));
  }

  static SearcherEntry MakeSearcher(const std::string& service, int n) {
    SearcherEntry entry;
    entry.id = InstanceId(service + "." + std::to_string(n));
    entry.service = ServiceName(service);
    entry.address =
        SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(80 + n)};
    entry.zone = ZoneName("zone");
    entry.slots = 2;
    return entry;
  }

  void AddSearchers(const std::string& service, int count) {
    for (int n = 0; n < count; ++n) {
      dispatcher_.OnSearcherChange(SearcherChange::kAdded,
                                   MakeSearcher(service, n));
    }
  }

  Dispatcher::RunPtr Submit(
      const std::string& target,
      Duration deadline = std::chrono::milliseconds(800)) {
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "r" + std::to_string(++submitted_);
    request->method = "GET";
    request->target = target;
    request->host = "host";
    request->received = timers_.Now();
    request->deadline = deadline;
    answer_.reset();
    return dispatcher_.Submit(
        request, [this](CallerAnswer answer) { answer_ = std::move(answer); });
  }

  void Advance(int ms) { timers_.AdvanceBy(std::chrono::milliseconds(ms)); }

  // The searcher of an attempt in flight at that service, or nothing.
  std::string PendingAt(const std::string& service) {
    for (const auto& [id, sent] : transport_.pending()) {
      if (sent.searcher.service.value() == service)
        return sent.searcher.id.value();
    }
    return "";
  }

  // Returns the decision log so far.
  std::string LogText() {
    sink_.Flush();
    std::rewind(log_file_.get());
    std::string text;
    for (int c = std::fgetc(log_file_.get()); c != EOF;
         c = std::fgetc(log_file_.get()))
      text += static_cast<char>(c);
    return text;
  }

  FakeTimerService timers_;
  FakeSearcherTransport transport_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file_;
  LineSink sink_;
  DecisionLog log_;
  MetricsRegistry registry_;
  Dispatcher dispatcher_;
  std::optional<CallerAnswer> answer_;
  int submitted_ = 0;
};

}  // namespace jujubecove

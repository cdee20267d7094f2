#include "telemetry/metrics.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace jujubecove {
namespace {

// Guards against output that a Prometheus server can't parse.
TEST(MetricsTest, WritesPrometheusText) {
  MetricsRegistry metrics;
  metrics.AddCounter("requests_total", "All\nrequests.", {{"kind", "a\"b\\"}})
      .Add(3);
  metrics.AddGauge("in_flight", "Now.").Set(1.5);
  metrics.AddSummary("latency_seconds", "Time.", {{"kind", "x"}}).Observe(2.0);
  EXPECT_EQ(metrics.ToPrometheus(),
            "# HELP in_flight Now.\n"
            "# TYPE in_flight gauge\n"
            "in_flight 1.5\n"
            "# HELP latency_seconds Time.\n"
            "# TYPE latency_seconds summary\n"
            "latency_seconds{kind=\"x\",quantile=\"0.5\"} 2\n"
            "latency_seconds{kind=\"x\",quantile=\"0.9\"} 2\n"
            "latency_seconds{kind=\"x\",quantile=\"0.99\"} 2\n"
            "latency_seconds{kind=\"x\",quantile=\"0.999\"} 2\n"
            "latency_seconds_sum{kind=\"x\"} 2\n"
            "latency_seconds_count{kind=\"x\"} 1\n"
            "# HELP requests_total All\\nrequests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{kind=\"a\\\"b\\\\\"} 3\n");
}

// Guards against lost increments, and against a second series for the same name
// and labels.
TEST(MetricsTest, CountsIncrementsOfAllThreadsInOneSeries) {
  MetricsRegistry metrics;
  std::vector<std::thread> threads;
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&metrics] {
      Counter& counter = metrics.AddCounter("requests_total", "All.");
      for (int k = 0; k < 10'000; ++k)
        counter.Add();
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_EQ(metrics.AddCounter("requests_total", "All.").value(), 40'000U);
}

}  // namespace
}  // namespace jujubecove

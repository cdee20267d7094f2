#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "telemetry/summary.h"

namespace jujubecove {

// A value that only increases. Any thread may add to it.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A value that can go up and down. Any thread may set it.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0.0};
};

// Name and value of each label, in output order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// All metrics of the process. Adding a metric takes a lock, so components add
// their metrics at startup; recording takes no lock. References stay valid as
// long as the registry.
class MetricsRegistry {
 public:
  // These return the existing metric if the name and labels are already
  // registered. Label values must come from a bounded set, such as the kinds of
  // the document.
  Counter& AddCounter(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels = {});
  Gauge& AddGauge(const std::string& name,
                  const std::string& help,
                  const MetricLabels& labels = {});
  // Only one thread may record to a summary.
  Summary& AddSummary(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels = {});

  // Prometheus text format 0.0.4. May be called from any thread.
  std::string ToPrometheus() const;

 private:
  // Exactly one of the pointers is set.
  struct Series {
    std::unique_ptr<Counter> counter;
    std::unique_ptr<Gauge> gauge;
    std::unique_ptr<Summary> summary;
  };
  struct Family {
    std::string type;
    std::string help;
    // By formatted labels without braces.
    std::map<std::string, Series> series;
  };

  Series& FindOrAdd(const std::string& name,
                    const std::string& type,
                    const std::string& help,
                    const MetricLabels& labels);

  mutable std::mutex mutex_;
  std::map<std::string, Family> families_;
};

}  // namespace jujubecove

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

// A value that only grows. Any thread may add to it.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A value that is replaced. Any thread may set it.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0.0};
};

// Name and value of each label, in the order in which they are written.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// All metrics of the process. Adding a metric takes a lock and is done when a
// component starts; recording takes none. References stay valid as long as the
// registry.
class MetricsRegistry {
 public:
  // A name and labels that exist already give the same metric again. Labels
  // must come from a bounded set, such as the kinds of the document.
  Counter& AddCounter(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels = {});
  Gauge& AddGauge(const std::string& name,
                  const std::string& help,
                  const MetricLabels& labels = {});
  // A summary is recorded by one thread only.
  Summary& AddSummary(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels = {});

  // The text format 0.0.4 of Prometheus. May be called from any thread.
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
    // By label text without braces.
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

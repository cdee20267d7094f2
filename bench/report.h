#pragma once

#include <string>
#include <vector>

#include "bench/load_generator.h"

namespace jujubecove::bench {

// Prints one line for each metric of an experiment, "bench NAME METRIC=VALUE
// target=BOUND ok|short", and records whether any metric missed its target.
class Report {
 public:
  explicit Report(std::string name) : name_(std::move(name)) {}

  void AtMost(const std::string& metric, double value, double bound);
  void AtLeast(const std::string& metric, double value, double bound);
  // Prints a metric without a target, such as that of the baseline.
  void Info(const std::string& metric, double value);

  // Prints the number of samples of each status.
  void PrintStatusCounts(const std::vector<LoadSample>& samples);

  // 0 when every target was met, 1 otherwise.
  int exit_code() const { return missed_target_ ? 1 : 0; }

 private:
  void Print(const std::string& metric,
             double value,
             const std::string& target,
             bool ok);

  std::string name_;
  bool missed_target_ = false;
};

}  // namespace jujubecove::bench

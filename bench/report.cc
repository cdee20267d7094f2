#include "bench/report.h"

#include <cstddef>
#include <iostream>
#include <map>
#include <sstream>

namespace jujubecove::bench {
namespace {

std::string FormatValue(double value) {
  std::ostringstream out;
  out.precision(6);
  out << value;
  return out.str();
}

}  // namespace

void Report::Print(const std::string& metric,
                   double value,
                   const std::string& target,
                   bool ok) {
  std::cout << "bench " << name_ << ' ' << metric << '=' << FormatValue(value)
            << " target=" << target << (ok ? " ok" : " short") << std::endl;
  missed_target_ = missed_target_ || !ok;
}

void Report::AtMost(const std::string& metric, double value, double bound) {
  Print(metric, value, "<=" + FormatValue(bound), value <= bound);
}

void Report::AtLeast(const std::string& metric, double value, double bound) {
  Print(metric, value, ">=" + FormatValue(bound), value >= bound);
}

void Report::Info(const std::string& metric, double value) {
  Print(metric, value, "none", true);
}

void Report::PrintStatusCounts(const std::vector<LoadSample>& samples) {
  std::map<std::string, std::size_t> counts;
  for (const LoadSample& it : samples)
    ++counts[it.http_status == 0 ? "no_answer" : it.status];
  for (const auto& [status, count] : counts)
    Info("status_" + status, static_cast<double>(count));
}

}  // namespace jujubecove::bench

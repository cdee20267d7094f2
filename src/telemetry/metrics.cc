#include "telemetry/metrics.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>

namespace jujubecove {
namespace {

constexpr char kCounterType[] = "counter";
constexpr char kGaugeType[] = "gauge";
constexpr char kSummaryType[] = "summary";

std::string Escape(const std::string& text, bool escape_quotes) {
  std::string escaped;
  for (char c : text) {
    if (c == '\\')
      escaped += "\\\\";
    else if (c == '\n')
      escaped += "\\n";
    else if (c == '"' && escape_quotes)
      escaped += "\\\"";
    else
      escaped += c;
  }
  return escaped;
}

std::string FormatLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "" : ",";
    text += name + "=\"" + Escape(value, true) + "\"";
  }
  return text;
}

std::string FormatValue(double value) {
  if (std::isnan(value))
    return "NaN";
  if (std::isinf(value))
    return value > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> buf{};
  auto [end, error] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return error == std::errc() ? std::string(buf.data(), end) : "NaN";
}

void AppendSample(std::string& out,
                  const std::string& name,
                  const std::string& labels,
                  const std::string& value) {
  out += name;
  if (!labels.empty())
    out += "{" + labels + "}";
  out += " " + value + "\n";
}

void AppendSummary(std::string& out,
                   const std::string& name,
                   const std::string& labels,
                   const Summary& summary) {
  for (std::size_t n = 0; n < Summary::kQuantiles.size(); ++n) {
    std::string quantile =
        "quantile=\"" + FormatValue(Summary::kQuantiles[n]) + "\"";
    AppendSample(out, name, labels.empty() ? quantile : labels + "," + quantile,
                 FormatValue(summary.QuantileAt(n)));
  }
  AppendSample(out, name + "_sum", labels, FormatValue(summary.sum()));
  AppendSample(out, name + "_count", labels, std::to_string(summary.count()));
}

}  // namespace

MetricsRegistry::Series& MetricsRegistry::FindOrAdd(
    const std::string& name,
    const std::string& type,
    const std::string& help,
    const MetricLabels& labels) {
  Family& family = families_[name];
  assert(family.type.empty() || family.type == type);
  family.type = type;
  family.help = help;
  return family.series[FormatLabels(labels)];
}

Counter& MetricsRegistry::AddCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  Series& series = FindOrAdd(name, kCounterType, help, labels);
  if (!series.counter)
    series.counter = std::make_unique<Counter>();
  return *series.counter;
}

Gauge& MetricsRegistry::AddGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  Series& series = FindOrAdd(name, kGaugeType, help, labels);
  if (!series.gauge)
    series.gauge = std::make_unique<Gauge>();
  return *series.gauge;
}

Summary& MetricsRegistry::AddSummary(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  Series& series = FindOrAdd(name, kSummaryType, help, labels);
  if (!series.summary)
    series.summary = std::make_unique<Summary>();
  return *series.summary;
}

std::string MetricsRegistry::ToPrometheus() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string out;
  for (const auto& [name, family] : families_) {
    out += "# HELP " + name + " " + Escape(family.help, false) + "\n";
    out += "# TYPE " + name + " " + family.type + "\n";
    for (const auto& [labels, series] : family.series) {
      if (series.counter)
        AppendSample(out, name, labels,
                     std::to_string(series.counter->value()));
      if (series.gauge)
        AppendSample(out, name, labels, FormatValue(series.gauge->value()));
      if (series.summary)
        AppendSummary(out, name, labels, *series.summary);
    }
  }
  return out;
}

}  // namespace jujubecove

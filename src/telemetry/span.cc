#include "telemetry/span.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jujubecove {
namespace {

constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;

boost::json::object MakeAttribute(const std::string& key,
                                  const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

// OTLP/JSON writes 64-bit integers as strings.
std::string NanosecondText(std::int64_t microseconds) {
  return std::to_string(microseconds * 1000);
}

boost::json::object SpanObject(const Span& span) {
  boost::json::object object;
  object["traceId"] = span.context.TraceIdText();
  object["spanId"] = span.context.SpanIdText();
  if (span.parent_span_id) {
    SpanContext parent;
    parent.span_id = *span.parent_span_id;
    object["parentSpanId"] = parent.SpanIdText();
  }
  object["name"] = span.name;
  object["kind"] = static_cast<int>(span.kind);
  object["startTimeUnixNano"] = NanosecondText(span.start_unix_us);
  object["endTimeUnixNano"] =
      NanosecondText(std::max(span.start_unix_us, span.end_unix_us));
  boost::json::array attributes;
  for (const auto& [key, value] : span.attributes)
    attributes.push_back(MakeAttribute(key, value));
  object["attributes"] = std::move(attributes);
  if (span.error.empty())
    object["status"] = {{"code", kStatusOk}};
  else
    object["status"] = {{"code", kStatusError}, {"message", span.error}};
  return object;
}

}  // namespace

std::string ToOtlpJson(const Span& span, const SpanResource& resource) {
  boost::json::array resource_attributes = {
      MakeAttribute("service.name", "jujubecove"),
      MakeAttribute("service.instance.id", resource.vm),
      MakeAttribute("cloud.availability_zone", resource.zone)};
  boost::json::object scope_spans;
  scope_spans["scope"] = {{"name", "jujubecove"}};
  scope_spans["spans"] = boost::json::array{SpanObject(span)};
  boost::json::object resource_spans;
  resource_spans["resource"] = {{"attributes", resource_attributes}};
  resource_spans["scopeSpans"] = boost::json::array{std::move(scope_spans)};
  boost::json::object request;
  request["resourceSpans"] = boost::json::array{std::move(resource_spans)};
  return boost::json::serialize(request);
}

}  // namespace jujubecove

#include "handover/load_report.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jujubecove {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxTimeUs = 3'600'000'000;

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  json::object times;
  for (const auto& [route, time] : report.route_times)
    times[route] = time.count();
  return json::serialize(json::object{{"config", report.version.value()},
                                      {"draining", report.draining},
                                      {"times_us", std::move(times)}});
}

std::optional<LoadReport> DecodeLoadReport(const std::string& text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  const json::object& object = value.get_object();
  const json::value* version = object.if_contains("config");
  const json::value* draining = object.if_contains("draining");
  const json::value* times = object.if_contains("times_us");
  if (version == nullptr || !version->is_int64() || version->get_int64() < 0 ||
      draining == nullptr || !draining->is_bool() || times == nullptr ||
      !times->is_object())
    return std::nullopt;
  LoadReport report;
  report.version =
      ConfigVersion(static_cast<std::uint64_t>(version->get_int64()));
  report.draining = draining->get_bool();
  for (const auto& [route, time] : times->get_object()) {
    if (!time.is_int64() || time.get_int64() < 0 ||
        time.get_int64() > kMaxTimeUs)
      return std::nullopt;
    report.route_times[std::string(route)] = Duration(time.get_int64());
  }
  return report;
}

}  // namespace jujubecove

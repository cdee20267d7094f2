#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

namespace jujubecove {

// What an entry daemon says about itself to those that may hand queries over to
// it.
struct LoadReport {
  ConfigVersion version;
  // It takes over nothing more, because it stops.
  bool draining = false;
  // By route: how long the queries that it runs itself take.
  std::map<std::string, Duration> route_times;
};

std::string EncodeLoadReport(const LoadReport& report);
std::optional<LoadReport> DecodeLoadReport(const std::string& text);

}  // namespace jujubecove

#pragma once

#include <map>
#include <string>

#include "base/units.h"

namespace jujubecove {

// How long the runs of a VM take, by route.
class RunTimes {
 public:
  // `target` is that of the route.
  void Observe(const std::string& route,
               Duration took,
               Duration target,
               TimePoint now);
  // The recent time of a route, or the usual one if it has not run recently: a
  // VM that was slow for a moment, and hands its queries over since, would not
  // notice otherwise that it is fast again. Empty before enough runs.
  std::map<std::string, Duration> Get(TimePoint now) const;

 private:
  struct Measure {
    double recent_us = 0.0;
    double usual_us = 0.0;
    int count = 0;
    TimePoint updated{};
  };

  // By route name.
  std::map<std::string, Measure> measures_;
  int observations_ = 0;
};

}  // namespace jujubecove

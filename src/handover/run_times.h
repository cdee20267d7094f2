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
  // By route, the lower and the higher one of the recent and the usual time. A
  // difference between two VMs that holds for both is not one of chance. A time
  // is recent for some seconds only, because a VM that was slow for a moment,
  // and hands its queries over since, would not notice that it is fast again.
  // Empty before enough runs.
  std::map<std::string, Duration> Lower(TimePoint now) const;
  std::map<std::string, Duration> Higher(TimePoint now) const;

 private:
  struct Measure {
    double recent_us = 0.0;
    double usual_us = 0.0;
    int count = 0;
    TimePoint updated{};
  };

  using Pick = const double& (*)(const double&, const double&);
  std::map<std::string, Duration> Get(TimePoint now, Pick pick) const;

  // By route name.
  std::map<std::string, Measure> measures_;
  int observations_ = 0;
};

}  // namespace jujubecove

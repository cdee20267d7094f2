#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "route/route.h"

namespace jujubecove {

// Distributes the requests of a route over its services by smooth weighted
// round robin, which has the configured proportions even in short sequences.
class TrafficSplitter {
 public:
  // The service of the next request of `route`, which has at least one.
  const ServiceName& Next(const Route& route);

 private:
  struct Share {
    ServiceName service;
    double weight = 0.0;
    double credit = 0.0;
  };

  // By route name. Rebuilt when a route's split changes.
  std::unordered_map<std::string, std::vector<Share>> shares_;
};

}  // namespace jujubecove

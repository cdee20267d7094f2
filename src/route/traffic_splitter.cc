#include "route/traffic_splitter.h"

namespace jujubecove {

const ServiceName& TrafficSplitter::Next(const Route& route) {
  if (route.split.size() == 1)
    return route.split.front().service;
  std::vector<Share>& shares = shares_[route.name];
  bool unchanged = shares.size() == route.split.size();
  for (std::size_t n = 0; unchanged && n < shares.size(); ++n) {
    unchanged = shares[n].service == route.split[n].service &&
                shares[n].weight == route.split[n].weight;
  }
  if (!unchanged) {
    shares.clear();
    for (const WeightedService& it : route.split)
      shares.push_back(Share{it.service, it.weight, 0.0});
  }
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t n = 0; n < shares.size(); ++n) {
    shares[n].credit += shares[n].weight;
    total += shares[n].weight;
    if (shares[n].credit > shares[best].credit)
      best = n;
  }
  shares[best].credit -= total;
  return route.split[best].service;
}

}  // namespace jujubecove

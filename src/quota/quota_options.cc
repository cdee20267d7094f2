#include "quota/quota_options.h"

namespace jujubecove {
namespace {

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

QuotaLimit QuotaOptions::BucketFor(const QuotaLimit& limit) const {
  double allowed = (limit.rate_per_second * ToSeconds(window) + limit.burst) *
                       (1.0 + overage) +
                   (kCapacitySlack + kRateSlack) * slack;
  double capacity = limit.burst + kCapacitySlack * slack;
  return {(allowed - capacity) / ToSeconds(window + token_lifetime()),
          capacity};
}

}  // namespace jujubecove

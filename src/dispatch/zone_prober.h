#pragma once

#include <functional>
#include <vector>

#include "base/random.h"
#include "dispatch/searcher_transport.h"
#include "dispatch/zone_reachability.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Opens connections to searchers of other availability zones where requests do
// not show whether these can be reached: in zones that count as unreachable,
// until one can be opened; and, when no searcher of any other zone has answered
// for some time, to notice a partition before a request meets it.
class ZoneProber {
 public:
  using SearcherLister =
      std::function<std::vector<SearcherEntry>(const ZoneName&)>;

  ZoneProber(TimerService& timers,
             SearcherTransport& transport,
             ZoneReachability& zones,
             RandomEngine& random,
             SearcherLister searchers_of);

  void Start();

 private:
  void Check();
  void ProbeIfIdle(TimePoint now);
  // Probes up to `count` searchers of the zone. With `escalate`, more are
  // probed if one of them fails.
  void ProbeZone(const ZoneName& zone, std::size_t count, bool escalate);
  void Probe(const SearcherEntry& searcher, bool escalate);

  TimerService& timers_;
  SearcherTransport& transport_;
  ZoneReachability& zones_;
  RandomEngine& random_;
  SearcherLister searchers_of_;
  TimePoint last_idle_probe_{};
};

}  // namespace jujubecove

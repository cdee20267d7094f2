#pragma once

#include "base/random.h"
#include "tests/soak/soak_world.h"

namespace jujubecove::soak {

// Injects faults at random times, in series and overlapping. The same seed
// gives the same faults at the same times.
class FaultSchedule {
 public:
  FaultSchedule(SoakWorld& world, std::uint64_t seed)
      : world_(world), random_(seed) {}

  // Runs the world for that time and injects faults meanwhile.
  void RunFor(Duration time);

 private:
  std::size_t AnyDaemon() { return random_() % world_.daemon_count(); }
  std::size_t AnySearcher() { return random_() % world_.searcher_count(); }
  Duration Between(int low_ms, int high_ms);
  void Inject();
  void InjectAtDaemon();
  void InjectAtStore();
  void InjectAtSearcher();
  // Delays, cuts, silences or resets the connections of a link.
  void InjectAtLink(FaultProxy& link,
                    std::uint64_t fault,
                    Duration time,
                    const std::string& name);

  SoakWorld& world_;
  RandomEngine random_;
};

}  // namespace jujubecove::soak

#include "tests/soak/fault_schedule.h"

#include <algorithm>
#include <iostream>

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;

// Faults follow each other after such a time, which is shorter than most of
// them last.
constexpr int kLeastGapMs = 50;
constexpr int kMostGapMs = 900;
constexpr int kLeastTimeMs = 300;
constexpr int kMostTimeMs = 4000;
constexpr int kMostDelayMs = 400;

void Report(const std::string& fault, std::size_t target) {
  std::cout << "fault: " << fault << " " << target << "\n";
}

}  // namespace

Duration FaultSchedule::Between(int low_ms, int high_ms) {
  std::uniform_int_distribution<int> time(low_ms, high_ms);
  return milliseconds(time(random_));
}

void FaultSchedule::RunFor(Duration time) {
  Duration passed(0);
  while (passed < time) {
    Duration gap = std::min(Between(kLeastGapMs, kMostGapMs), time - passed);
    world_.RunFor(gap);
    passed += gap;
    Inject();
  }
}

void FaultSchedule::Inject() {
  switch (random_() % 5) {
    case 0:
    case 1:
      InjectAtDaemon();
      break;
    case 2:
      InjectAtStore();
      break;
    case 3:
      InjectAtSearcher();
      break;
    default:
      world_.ChangeConfiguration();
      break;
  }
}

void FaultSchedule::InjectAtDaemon() {
  std::size_t daemon = AnyDaemon();
  switch (random_() % 4) {
    case 0:
      Report("terminate daemon", daemon);
      world_.TerminateDaemon(daemon);
      break;
    case 1:
      Report("kill daemon", daemon);
      world_.KillDaemon(daemon);
      break;
    case 2:
      Report("pause daemon", daemon);
      world_.PauseDaemon(daemon, Between(kLeastTimeMs, kMostTimeMs));
      break;
    default:
      Report("reload daemon", daemon);
      world_.ReloadDaemon(daemon);
      break;
  }
}

void FaultSchedule::InjectAtStore() {
  std::size_t daemon = AnyDaemon();
  Duration time = Between(kLeastTimeMs, kMostTimeMs);
  switch (random_() % 6) {
    case 0:
      Report("delay the store for daemon", daemon);
      world_.DelayStore(daemon, Between(1, kMostDelayMs), time);
      break;
    case 1: {
      Report("cut the store off from daemon", daemon);
      std::uint64_t ways = 1 + random_() % 3;
      world_.CutStore(daemon, (ways & 1) != 0, (ways & 2) != 0, time);
      break;
    }
    case 2:
      Report("silence the store's connections of daemon", daemon);
      world_.SilenceStore(daemon);
      break;
    case 3:
      Report("reset the store's connections of daemon", daemon);
      world_.ResetStore(daemon);
      break;
    case 4:
      Report("stop the store", 0);
      world_.StopStore(time);
      break;
    default:
      Report("compact the store", 0);
      world_.CompactStore();
      break;
  }
}

void FaultSchedule::InjectAtSearcher() {
  std::size_t searcher = AnySearcher();
  Duration time = Between(kLeastTimeMs, kMostTimeMs);
  switch (random_() % 8) {
    case 0:
      Report("delay searcher", searcher);
      world_.DelaySearcher(searcher, Between(1, kMostDelayMs), time);
      break;
    case 1: {
      Report("cut off searcher", searcher);
      std::uint64_t ways = 1 + random_() % 3;
      world_.CutSearcher(searcher, (ways & 1) != 0, (ways & 2) != 0, time);
      break;
    }
    case 2:
      Report("silence the connections of searcher", searcher);
      world_.SilenceSearcher(searcher);
      break;
    case 3:
      Report("reset the connections of searcher", searcher);
      world_.ResetSearcher(searcher);
      break;
    case 4:
      Report("refuse at searcher", searcher);
      world_.RefuseAtSearcher(searcher, time);
      break;
    case 5:
      Report("lose replies of searcher", searcher);
      world_.LoseRepliesOfSearcher(searcher, time);
      break;
    case 6:
      Report("drain searcher", searcher);
      world_.DrainSearcher(searcher);
      break;
    default:
      Report("swap addresses with searcher", searcher);
      world_.SwapAddresses(searcher, AnySearcher());
      break;
  }
}

}  // namespace jujubecove::soak

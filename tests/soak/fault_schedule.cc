#include "tests/soak/fault_schedule.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

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

enum LinkFault : std::uint64_t { kDelay, kCut, kSilence, kReset, kLinkFaults };

// With the time of day that the daemons' log lines bear.
void Report(const std::string& fault) {
  std::chrono::milliseconds time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  std::cout << time.count() << " fault: " << fault << "\n";
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
      Report("terminate daemon " + std::to_string(daemon));
      world_.TerminateDaemon(daemon);
      break;
    case 1:
      Report("kill daemon " + std::to_string(daemon));
      world_.KillDaemon(daemon);
      break;
    case 2:
      Report("pause daemon " + std::to_string(daemon));
      world_.PauseDaemon(daemon, Between(kLeastTimeMs, kMostTimeMs));
      break;
    default:
      Report("reload daemon " + std::to_string(daemon));
      world_.ReloadDaemon(daemon);
      break;
  }
}

void FaultSchedule::InjectAtLink(FaultProxy& link,
                                 std::uint64_t fault,
                                 Duration time,
                                 const std::string& name) {
  switch (fault) {
    case kDelay:
      Report("delay " + name);
      link.set_delay(Between(1, kMostDelayMs));
      world_.HealAfter(link, time);
      break;
    case kCut: {
      Report("cut " + name);
      std::uint64_t ways = 1 + random_() % 3;
      link.Cut((ways & 1) != 0, (ways & 2) != 0);
      world_.HealAfter(link, time);
      break;
    }
    case kSilence:
      Report("silence " + name);
      link.Silence();
      break;
    default:
      Report("reset " + name);
      link.ResetConnections();
      break;
  }
}

void FaultSchedule::InjectAtStore() {
  std::size_t daemon = AnyDaemon();
  Duration time = Between(kLeastTimeMs, kMostTimeMs);
  std::uint64_t fault = random_() % (kLinkFaults + 2);
  if (fault < kLinkFaults) {
    // A silenced or reset connection is replaced by one that works.
    bool lasts = fault == kDelay || fault == kCut;
    world_.Disturb(daemon, lasts ? time : Duration(0));
    InjectAtLink(world_.StoreLink(daemon), fault, time,
                 "the store for daemon " + std::to_string(daemon));
  } else if (fault == kLinkFaults) {
    Report("stop the store");
    world_.StopStore(time);
  } else {
    Report("compact the store");
    world_.CompactStore();
  }
}

void FaultSchedule::InjectAtSearcher() {
  std::size_t searcher = AnySearcher();
  Duration time = Between(kLeastTimeMs, kMostTimeMs);
  std::string name = "searcher " + std::to_string(searcher);
  std::uint64_t fault = random_() % (kLinkFaults + 4);
  if (fault < kLinkFaults) {
    InjectAtLink(world_.SearcherLink(searcher), fault, time, name);
    return;
  }
  switch (fault - kLinkFaults) {
    case 0:
      Report("refuse at " + name);
      world_.RefuseAtSearcher(searcher, time);
      break;
    case 1:
      Report("lose replies of " + name);
      world_.LoseRepliesOfSearcher(searcher, time);
      break;
    case 2:
      Report("drain " + name);
      world_.DrainSearcher(searcher);
      break;
    default:
      Report("swap addresses with " + name);
      world_.SwapAddresses(searcher, AnySearcher());
      break;
  }
}

}  // namespace jujubecove::soak

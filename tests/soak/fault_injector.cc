#include "tests/soak/fault_injector.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;

// Gaps between injections are shorter than most faults, so that faults overlap.
constexpr int kMinGapMs = 50;
constexpr int kMaxGapMs = 900;
constexpr int kMinFaultMs = 300;
constexpr int kMaxFaultMs = 4000;
constexpr int kMaxDelayMs = 400;

enum NetworkFault : std::uint64_t {
  kDelay,
  kBlock,
  kSilence,
  kReset,
  kNetworkFaultCount
};

// Prints the wall-clock time, to match the fault with the daemons' logs.
void LogFault(const std::string& fault) {
  std::chrono::milliseconds time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  std::cout << time.count() << " fault: " << fault << "\n";
}

}  // namespace

Duration FaultInjector::RandomDuration(int low_ms, int high_ms) {
  std::uniform_int_distribution<int> time(low_ms, high_ms);
  return milliseconds(time(random_));
}

void FaultInjector::RunFor(Duration time) {
  Duration elapsed(0);
  while (elapsed < time) {
    Duration gap =
        std::min(RandomDuration(kMinGapMs, kMaxGapMs), time - elapsed);
    cluster_.RunFor(gap);
    elapsed += gap;
    InjectRandomFault();
  }
}

void FaultInjector::InjectRandomFault() {
  switch (random_() % 5) {
    case 0:
    case 1:
      InjectDaemonFault();
      break;
    case 2:
      InjectStoreFault();
      break;
    case 3:
      InjectSearcherFault();
      break;
    default:
      cluster_.ChangeConfiguration();
      break;
  }
}

void FaultInjector::InjectDaemonFault() {
  std::size_t daemon = RandomDaemon();
  switch (random_() % 4) {
    case 0:
      LogFault("terminate daemon " + std::to_string(daemon));
      cluster_.TerminateDaemon(daemon);
      break;
    case 1:
      LogFault("kill daemon " + std::to_string(daemon));
      cluster_.KillDaemon(daemon);
      break;
    case 2:
      LogFault("pause daemon " + std::to_string(daemon));
      cluster_.PauseDaemon(daemon, RandomDuration(kMinFaultMs, kMaxFaultMs));
      break;
    default:
      LogFault("reload daemon " + std::to_string(daemon));
      cluster_.ReloadDaemon(daemon);
      break;
  }
}

void FaultInjector::InjectNetworkFault(FaultProxy& proxy,
                                       std::uint64_t fault,
                                       Duration time,
                                       const std::string& name) {
  switch (fault) {
    case kDelay:
      LogFault("delay " + name);
      proxy.set_delay(RandomDuration(1, kMaxDelayMs));
      cluster_.HealAfter(proxy, time);
      break;
    case kBlock: {
      LogFault("block " + name);
      std::uint64_t directions = 1 + random_() % 3;
      proxy.Block((directions & 1) != 0, (directions & 2) != 0);
      cluster_.HealAfter(proxy, time);
      break;
    }
    case kSilence:
      LogFault("silence " + name);
      proxy.Silence();
      break;
    default:
      LogFault("reset " + name);
      proxy.ResetConnections();
      break;
  }
}

void FaultInjector::InjectStoreFault() {
  std::size_t daemon = RandomDaemon();
  Duration time = RandomDuration(kMinFaultMs, kMaxFaultMs);
  std::uint64_t fault = random_() % (kNetworkFaultCount + 2);
  if (fault < kNetworkFaultCount) {
    // A silenced or reset connection is replaced by a working one, so these
    // faults have no duration.
    bool is_timed = fault == kDelay || fault == kBlock;
    cluster_.RecordFault(daemon, is_timed ? time : Duration(0));
    InjectNetworkFault(cluster_.StoreProxy(daemon), fault, time,
                       "the store for daemon " + std::to_string(daemon));
  } else if (fault == kNetworkFaultCount) {
    LogFault("stop the store");
    cluster_.StopStore(time);
  } else {
    LogFault("compact the store");
    cluster_.CompactStore();
  }
}

void FaultInjector::InjectSearcherFault() {
  std::size_t searcher = RandomSearcher();
  Duration time = RandomDuration(kMinFaultMs, kMaxFaultMs);
  std::string name = "searcher " + std::to_string(searcher);
  std::uint64_t fault = random_() % (kNetworkFaultCount + 4);
  if (fault < kNetworkFaultCount) {
    InjectNetworkFault(cluster_.SearcherProxy(searcher), fault, time, name);
    return;
  }
  switch (fault - kNetworkFaultCount) {
    case 0:
      LogFault("refuse requests at " + name);
      cluster_.RefuseRequests(searcher, time);
      break;
    case 1:
      LogFault("lose replies of " + name);
      cluster_.LoseReplies(searcher, time);
      break;
    case 2:
      LogFault("drain " + name);
      cluster_.DrainSearcher(searcher);
      break;
    default:
      LogFault("swap addresses with " + name);
      cluster_.SwapAddresses(searcher, RandomSearcher());
      break;
  }
}

}  // namespace jujubecove::soak

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "handover/load_report.h"

namespace jujubecove {

// Another VM of the same availability zone.
struct HandoverPeer {
  VmId vm;
  IncarnationId incarnation;
  // Share of a processor core, or 0 if unknown. It only says whom to ask first.
  double cpu_share = 0.0;
};

// What is known of a query before it runs.
struct HandoverQuery {
  std::string route;
  Duration target{};
  ConfigVersion version;
  // How long this VM's own runs take, by route.
  std::map<std::string, Duration> own_times;
};

struct HandoverChoice {
  VmId vm;
  // Expected times until the answer is here: handed over, and run by this VM.
  Duration there{};
  Duration here{};
  // Of which the way there and back.
  Duration hop{};
};

// Decides which queries another VM of the zone runs.
//
// It answers this load: 33 VMs with a twelfth of a core and 2 with half of one
// in a zone, each with one query a second that takes 4 ms of processor time. A
// small VM needs 50 ms for it, most of the route's target, while the large ones
// have room for all of them.
//
// All times are measured. A peer's time is its own average over the queries
// that it runs, plus the hop as measured by this VM. A query is handed over
// only if that is clearly shorter than its run here, so nothing is in a fleet
// of equal VMs. For a VM with a larger processor any gain is enough, and a few
// queries go there without one: as long as it runs few, it opens connections
// for most of them, and is slower than it could be. Peers are asked for their
// times by small calls, few and seldom; a peer that failed is asked again
// before it gets another query.
class HandoverPolicy {
 public:
  // `cpu_share` is that of this VM, or 0 if unknown.
  HandoverPolicy(VmId self, double cpu_share, std::uint64_t seed);

  // Peers that are no longer listed, or restarted, are forgotten.
  void SetPeers(const std::vector<HandoverPeer>& peers);
  // The peers to ask now for their load. None while this VM is fast enough.
  std::vector<VmId> TakePeersToAsk(const HandoverQuery& query, TimePoint now);
  // The peer that runs the query, or nothing if this VM does.
  std::optional<HandoverChoice> Choose(const HandoverQuery& query,
                                       TimePoint now);

  void OnReport(const VmId& peer,
                const LoadReport& report,
                Duration round_trip,
                TimePoint now);
  // The peer answered a query that was handed over. `took` is the time until
  // the answer was here, `ran` that of the run there.
  void OnAnswer(const VmId& peer,
                const LoadReport& report,
                Duration took,
                Duration ran,
                TimePoint now);
  // The peer proved that it did not run a query.
  void OnRefusal(const VmId& peer, const LoadReport& report, TimePoint now);
  // The peer can't be reached, broke a connection or was silent.
  void OnFailure(const VmId& peer, TimePoint now);

  // When to give up a query that a peer has not answered: late enough for one
  // that is only slow, early enough for the caller to try again.
  static TimePoint GiveUpTime(const HandoverQuery& query,
                              const HandoverChoice& choice,
                              TimePoint received,
                              TimePoint now);

 private:
  struct Peer {
    HandoverPeer info;
    // Orders the peers that nothing else distinguishes, for each VM in its own
    // way.
    std::uint64_t hash = 0;
    std::optional<LoadReport> report;
    TimePoint reported_at{};
    TimePoint asked_at{};
    TimePoint blocked_until{};
    double hop_us = 0.0;
    int failures = 0;
    int refusals = 0;
  };

  Peer* Find(const VmId& vm);
  void Update(Peer& peer, const LoadReport& report, TimePoint now);
  static void ObserveHop(Peer& peer, Duration hop);
  static bool IsUsable(const Peer& peer,
                       const HandoverQuery& query,
                       TimePoint now);
  // The time until the answer would be here. Nothing if the peer can't be used
  // or has not run enough queries.
  static std::optional<Duration> Expected(const Peer& peer,
                                          const HandoverQuery& query,
                                          TimePoint now);
  Duration AskInterval(const Peer& peer,
                       const HandoverQuery& query,
                       TimePoint now) const;
  // The peers to consider, the most promising first.
  std::vector<Peer*> Candidates(const HandoverQuery& query, TimePoint now);

  bool IsLarger(const Peer& peer) const;
  // Whether a query may go to a peer that takes this time.
  bool IsWorthwhile(const Peer& peer,
                    Duration there,
                    Duration here,
                    Duration target);

  VmId self_;
  double cpu_share_;
  RandomEngine random_;
  std::map<VmId, Peer> peers_;
};

}  // namespace jujubecove

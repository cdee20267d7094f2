#pragma once

#include <map>
#include <vector>

#include "discovery/daemon_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Decides which entry daemons of a zone watch the store, and which of these the
// others ask for changes. Every daemon ranks the registered ones of its zone by
// a hash; the first two that it does not believe dead are its readers. Daemons
// that disagree do no harm: one that is asked says whether it follows the
// store. Load: each watch is charged, and without readers their number grows
// with the fleet.
class ReaderChoice {
 public:
  struct Options {
    VmId own;
    ZoneName zone;
    // The number of daemons in the zone from which on it has readers. Zero
    // means never.
    int min_daemons = 0;
  };

  ReaderChoice(TimerService& timers, Options options);

  void SetDaemons(const std::map<VmId, DaemonEntry>& daemons);
  // Whether the zone is large enough to have readers.
  bool HasReaders() const;
  bool IsOwnReader() const;
  // The readers that this daemon may ask now, the preferred one first. Half of
  // the daemons prefer each reader.
  std::vector<DaemonEntry> Candidates() const;
  // Whether the reader's latest answer was recent and current.
  bool IsProven(const VmId& vm) const;

  void OnCurrent(const VmId& vm);
  // The daemon answered that it does not follow the store.
  void OnDeclined(const VmId& vm);
  void OnNoAnswer(const VmId& vm);

  int zone_size() const { return static_cast<int>(ranked_.size()); }

 private:
  struct Observation {
    IncarnationId incarnation;
    int failures = 0;
    TimePoint dead_until{};
    TimePoint declined_until{};
    TimePoint proven_until{};
  };

  // The first of the ranking that are not believed dead.
  std::vector<const DaemonEntry*> Readers() const;
  const Observation* Find(const DaemonEntry& daemon) const;
  Observation& Observe(const VmId& vm);

  TimerService& timers_;
  Options options_;
  // Daemons of the own zone, this one included, in the order of their hashes.
  std::vector<DaemonEntry> ranked_;
  // Only of daemons that were asked.
  std::map<VmId, Observation> observations_;
};

}  // namespace jujubecove

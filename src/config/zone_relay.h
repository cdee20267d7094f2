#pragma once

#include <Peer.h>

#include <functional>
#include <memory>
#include <string>

#include "base/units.h"
#include "config/config_records.h"
#include "kernel/timer_service.h"
#include "membership/membership.h"
#include "store/store.h"

namespace jujubecove {

struct ZoneRelayOptions {
  // Relays of a zone for one version. The second writes only what the first
  // has not.
  std::size_t relays = 2;
  Duration second_delay{400'000};
  // Least time between two writes while daemons are still missing.
  Duration write_interval{300'000};
  Duration retry{200'000};
};

// Collects what the daemons of this zone hold and writes it to the store while
// this daemon is one of the zone's relays for the version in question. It only
// reports; what is in force is decided by the active record alone.
class ZoneRelay {
 public:
  // State that a daemon last announced; null when it is not known.
  using StateLookup =
      std::function<const wire::ConfigState*(std::int64_t incarnation)>;

  ZoneRelay(TimerService& timers,
            Store& store,
            Membership& membership,
            StateLookup states,
            ZoneRelayOptions options = {});
  ~ZoneRelay();

  // The version that the zone's record is about, and whether it is known to be
  // in force. Each of the two phases has relays of its own, so that the
  // acknowledgements of one change are not all received by the same daemon.
  void SetSubject(ConfigVersion version, std::uint64_t hash, bool in_force);
  // Something that the record states may have changed.
  void Update();
  // Relays for the version, the first one first.
  std::vector<wire::Member> Relays();
  bool IsRelay() { return Rank() < options_.relays; }

 private:
  ZoneRecord Collect() const;
  // Position among the relays; `relays` when this daemon is none.
  std::size_t Rank();
  void EvaluateAfter(Duration delay);
  void Evaluate();
  void Write(const ZoneRecord& record);
  void ReadCurrent();

  TimerService& timers_;
  Store& store_;
  Membership& membership_;
  StateLookup states_;
  ZoneRelayOptions options_;
  ConfigVersion version_;
  std::uint64_t hash_ = 0;
  bool in_force_ = false;
  TimePoint subject_since_;
  TimePoint last_write_;
  // What the store holds, as far as is known.
  ZoneRecord stored_;
  StoreRevision revision_;
  bool known_ = false;
  bool busy_ = false;
  TimerId timer_;
  TimePoint timer_due_ = TimePoint::max();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

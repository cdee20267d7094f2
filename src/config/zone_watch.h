#pragma once

#include <memory>
#include <string>

#include "config/config_records.h"
#include "kernel/timer_service.h"
#include "store/store.h"

namespace jujubecove {

// Reads the record of one zone at a fixed interval for the tool and keeps what
// it ever said of one version: a daemon that held a version, or had it in
// force, never loses that again.
class ZoneWatch {
 public:
  ZoneWatch(TimerService& timers,
            Store& store,
            const std::string& zone,
            ConfigVersion version);
  ~ZoneWatch();

  // The newest record that is about the version or a later one; absent when
  // the zone has not reported it.
  const ZoneRecord* record() const { return reached_ ? &record_ : nullptr; }
  bool all_staged() const { return all_staged_; }
  bool in_force() const { return in_force_; }

 private:
  void Step();
  void OnReply(const StoreReply& reply);

  TimerService& timers_;
  Store& store_;
  std::string key_;
  ConfigVersion version_;
  StoreRevision revision_;
  bool reached_ = false;
  bool all_staged_ = false;
  bool in_force_ = false;
  ZoneRecord record_;
  TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

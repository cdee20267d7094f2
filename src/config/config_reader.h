#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/units.h"
#include "kernel/timer_service.h"
#include "membership/membership.h"
#include "store/store.h"

namespace jujubecove {

struct ConfigReaderOptions {
  // Daemons of a zone that read the store. A second one covers a lost reply and
  // a reader that was paused; none has any authority.
  std::size_t readers_per_zone = 2;
  Duration watch_timeout{5'000'000};
  // A daemon that is no reader looks this often whether it became one.
  Duration check_interval{1'000'000};
  Duration least_pause{10'000};
  Duration first_retry{100'000};
  Duration longest_retry{2'000'000};
};

// Follows one key of the store while this daemon is among the readers of its
// zone.
class ConfigReader {
 public:
  // Receives each new value.
  using ValueHandler = std::function<void(const std::string& value)>;

  ConfigReader(TimerService& timers,
               Store& store,
               Membership& membership,
               std::string key,
               ConfigReaderOptions options,
               ValueHandler handler);
  ~ConfigReader();

  void Start();
  // Whether the store has answered at least once, with a value or without.
  bool confirmed() const { return confirmed_; }
  // Whether the last call failed.
  bool failing() const { return failures_ > 0; }

 private:
  void Step();
  void OnReply(const StoreReply& reply);
  void StepAfter(Duration delay);

  TimerService& timers_;
  Store& store_;
  Membership& membership_;
  std::string key_;
  ConfigReaderOptions options_;
  ValueHandler handler_;
  StoreRevision revision_;
  // A read is due at the start, and when a watch's history was compacted.
  bool read_due_ = true;
  bool confirmed_ = false;
  std::uint32_t failures_ = 0;
  TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

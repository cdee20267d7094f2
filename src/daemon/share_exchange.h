#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "kernel/timer_service.h"
#include "membership/membership.h"
#include "routing/connection_shares.h"

namespace jujubecove {

// Carries the acknowledgements of connection shares in the exchanges between
// daemons, beside what another extension adds.
class ShareExchange : public ExchangeExtension {
 public:
  ShareExchange(TimerService& timers,
                Membership& membership,
                ConnectionShares& shares);

  // May be null.
  void SetNext(ExchangeExtension* next) { next_ = next; }
  // Zones that have searchers.
  void SetZones(std::vector<ZoneName> zones) { zones_ = std::move(zones); }
  // Time after which connections above a share that shrank are closed: they
  // close when their request ends.
  void SetLongestRequest(Duration longest) { longest_request_ = longest; }

  // Notes the live daemons. To be called after ConnectionShares::SetDaemons.
  void OnDaemons(const std::vector<EntryDaemon>& daemons);
  // While this daemon is joining, asks those that have not acknowledged it.
  void Step();
  // Adds the acknowledgements that the sender of `message` asks for.
  void Answer(const wire::ExchangeMessage& message,
              wire::ExchangeMessage& reply) const;

  void Fill(wire::ExchangeMessage& message) override;
  void OnMessage(const wire::ExchangeMessage& message) override;

 private:
  bool IsJoining() const;

  TimerService& timers_;
  Membership& membership_;
  ConnectionShares& shares_;
  ExchangeExtension* next_ = nullptr;
  std::vector<ZoneName> zones_;
  Duration longest_request_{1'000'000};
  // When each live daemon was first counted here.
  std::map<VmId, TimePoint> counted_since_;
  TimePoint next_ask_;
};

}  // namespace jujubecove

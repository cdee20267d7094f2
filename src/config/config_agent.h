#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "config/config_reader.h"
#include "config/document_cache.h"
#include "config/zone_relay.h"
#include "kernel/timer_service.h"
#include "membership/membership.h"
#include "peer/peer_transport.h"
#include "store/store.h"

namespace jujubecove {

struct ConfigAgentOptions {
  ConfigReaderOptions reader;
  ZoneRelayOptions relay;
  // News is pushed in this many steps, this far apart, to peers that are not
  // known to have it. A daemon that all of these miss, a few in a hundred,
  // learns of the news with the next round of the membership.
  std::uint32_t spread_steps = 3;
  Duration spread_interval{100'000};
  Duration first_retry{100'000};
  Duration longest_retry{1'000'000};
};

// Keeps the operators' document of one daemon current, on its control thread.
// It fetches proposed versions ahead of time, activates a version as soon as it
// learns that it is in force, and never goes back to an earlier one.
class ConfigAgent : public ExchangeExtension {
 public:
  using ActivationHandler =
      std::function<void(std::shared_ptr<const Document>)>;

  ConfigAgent(TimerService& timers,
              Store& store,
              PeerTransport& transport,
              Membership& membership,
              std::uint64_t seed,
              ConfigAgentOptions options = {});
  ~ConfigAgent() override;

  void SetActivationHandler(ActivationHandler handler) {
    activation_handler_ = std::move(handler);
  }
  void Start();
  // To be called by the membership's change handler.
  void OnMembersChanged();

  // Zero while no document is in force.
  ConfigVersion active_version() const { return active_; }
  std::uint64_t active_hash() const { return active_hash_; }
  bool ready();
  // Empty when ready.
  std::string NotReadyReason();

  void Fill(wire::ExchangeMessage& message) override;
  void OnMessage(const wire::ExchangeMessage& message) override;
  wire::DocumentReply OnFetchDelta(ConfigVersion from, ConfigVersion to);
  wire::DocumentReply OnFetchDocument(ConfigVersion version);

 private:
  // A version that this daemon has heard of.
  struct Known {
    ConfigVersion version;
    std::uint64_t hash = 0;
    // Of a proposal read from the store.
    ConfigVersion base;
    std::string delta;
    std::string sha256;
  };

  wire::ConfigState State() const;
  const wire::ConfigState* StateOf(std::int64_t incarnation);
  void OnActiveValue(const std::string& value);
  void OnProposalValue(const std::string& value);
  void LearnActive(ConfigVersion version, std::uint64_t hash);
  void LearnProposal(Known proposal);
  // Activates or fetches whatever is due.
  void Proceed();
  void Activate();
  void OnNews();

  const Known* Goal() const;
  void Fetch();
  void FetchDelta(const std::string& peer, ConfigVersion base);
  void FetchDocument(const std::string& peer);
  void FetchFromStore();
  void OnDocument(const Known& goal,
                  const PeerResult<wire::DocumentReply>& result);
  // False when the text is not that of the goal.
  bool Keep(const Known& goal, std::string text, const std::string& sha256);
  void FetchEnded(bool kept);
  std::vector<std::string> HoldersOf(const Known& goal);

  bool HasNews(std::int64_t incarnation);
  void SpreadStep();
  void Acknowledge();
  void AcknowledgeLater();

  TimerService& timers_;
  Store& store_;
  PeerTransport& transport_;
  Membership& membership_;
  RandomEngine random_;
  ConfigAgentOptions options_;
  ActivationHandler activation_handler_;
  DocumentCache cache_;
  ConfigVersion active_;
  std::uint64_t active_hash_ = 0;
  // The newest version known to be in force somewhere.
  Known target_;
  Known proposal_;
  std::string rejection_;
  // A version whose text is authentic and yet invalid for this daemon.
  ConfigVersion unusable_;
  bool ready_ = false;
  // States that peers announced, by incarnation.
  std::map<std::int64_t, wire::ConfigState> states_;
  wire::ConfigState own_state_;

  bool fetching_ = false;
  std::uint32_t attempts_ = 0;
  TimerId retry_timer_;
  bool retry_pending_ = false;

  std::uint32_t spread_steps_left_ = 0;
  TimerId spread_timer_;

  // What each relay has been told.
  std::map<std::int64_t, wire::ConfigState> acknowledged_;
  TimerId acknowledge_timer_;
  bool acknowledge_retry_ = false;

  ZoneRelay relay_;
  ConfigReader active_reader_;
  ConfigReader proposal_reader_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/activator.h"
#include "config/config_agent.h"
#include "kernel/fake_timer_service.h"
#include "membership/membership.h"
#include "tests/standin/fake_peer_network.h"
#include "tests/standin/fake_store.h"
#include "tests/standin/node_timers.h"
#include "tests/standin/store_model.h"

namespace jujubecove {

// The configuration side of one simulated daemon.
class ConfigNode : public PeerHandler {
 public:
  ConfigNode(TimerService& shared,
             FakePeerNetwork& network,
             StoreModel& model,
             const wire::Member& self,
             std::uint64_t seed);
  ~ConfigNode() override;

  wire::ExchangeMessage OnExchange(
      const wire::ExchangeMessage& message) override;
  wire::DocumentReply OnFetchDelta(ConfigVersion from,
                                   ConfigVersion to) override;
  wire::DocumentReply OnFetchDocument(ConfigVersion version) override;
  void OnExecute(const wire::ForwardRequest& request,
                 ForwardResponder respond) override;

  const std::string& address() const { return self_.address; }
  const std::string& zone() const { return self_.zone; }
  NodeTimers& timers() { return timers_; }
  FakeStore& store() { return store_; }
  Membership& membership() { return membership_; }
  ConfigAgent& agent() { return agent_; }
  // Versions that this daemon activated, in order.
  const std::vector<ConfigVersion>& activations() const { return activations_; }

 private:
  FakePeerNetwork& network_;
  wire::Member self_;
  NodeTimers timers_;
  FakeStore store_;
  FakePeerTransport transport_;
  Membership membership_;
  ConfigAgent agent_;
  std::vector<ConfigVersion> activations_;
};

// Simulated daemons of several zones with the platform's stand-in, all on one
// fake clock.
class ConfigFleet {
 public:
  ConfigFleet(std::uint64_t seed, std::size_t zones, std::size_t daemons);

  FakeTimerService& timers() { return timers_; }
  StoreModel& model() { return model_; }
  FakePeerNetwork& network() { return network_; }
  std::size_t size() const { return nodes_.size(); }
  ConfigNode& node(std::size_t slot) { return *nodes_[slot]; }
  const std::vector<std::string>& zones() const { return zones_; }

  // Starts the daemon of a slot as a new incarnation, in place of any earlier.
  void Replace(std::size_t slot);
  // Cuts a zone off from the other zones and from the platform.
  void SetIsolated(std::size_t zone, bool isolated);
  void Run(Duration time) { timers_.AdvanceBy(time); }
  // Runs until `done` or `limit` has passed; false in the latter case.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  bool AllAt(ConfigVersion version);

  // A new tool with a store connection of its own.
  struct Operator {
    explicit Operator(ConfigFleet& fleet);
    void Apply(const std::string& text);
    NodeTimers timers;
    FakeStore store;
    Activator activator;
    std::vector<ApplyReport> reports;
  };
  // Applies a text and runs until the report.
  ApplyReport Apply(const std::string& text);

 private:
  FakeTimerService timers_;
  StoreModel model_;
  FakePeerNetwork network_;
  RandomEngine random_;
  std::vector<std::string> zones_;
  std::vector<ListedMember> listed_;
  std::vector<bool> isolated_;
  std::int64_t last_incarnation_ = 0;
  std::vector<std::unique_ptr<ConfigNode>> nodes_;
};

// A valid canonical document with `kinds` kinds of which one has the given
// deadline in milliseconds. 4,000 kinds are about a megabyte.
std::string SampleDocument(std::size_t kinds, int deadline_ms);

}  // namespace jujubecove

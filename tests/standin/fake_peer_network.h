#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "peer/peer_transport.h"

namespace jujubecove {

// The network between simulated daemons: latency, loss, partitions of zones,
// and the bytes that each daemon receives in the real encoding.
class FakePeerNetwork {
 public:
  explicit FakePeerNetwork(std::uint64_t seed) : random_(seed) {}

  // `timers` are those of the daemon, so that a paused one answers late.
  void Add(const std::string& address,
           const std::string& zone,
           TimerService& timers,
           PeerHandler& handler);
  void Remove(const std::string& address) { nodes_.erase(address); }

  void SetLatency(Duration latency) { latency_ = latency; }
  // Share of calls and of replies that are lost.
  void SetLoss(double share) { loss_ = share; }
  // Cuts a zone off from all others; daemons within it still reach each other.
  void SetIsolated(const std::string& zone, bool isolated);
  // Counting encodes every message, which takes most of a simulation's time.
  void SetCounting(bool counting) { counting_ = counting; }
  std::uint64_t received_bytes(const std::string& address) const;
  std::uint64_t calls() const { return calls_; }

 private:
  friend class FakePeerTransport;

  struct Node {
    std::string zone;
    TimerService* timers = nullptr;
    PeerHandler* handler = nullptr;
    // Tells lives at one address apart.
    std::uint64_t life = 0;
  };

  Node* Find(const std::string& address);
  bool Connected(const std::string& from_zone, const std::string& to_zone);
  bool Lost();
  void Count(const std::string& address, std::size_t bytes);

  RandomEngine random_;
  Duration latency_{500};
  double loss_ = 0.0;
  bool counting_ = false;
  std::uint64_t calls_ = 0;
  std::uint64_t lives_ = 0;
  std::set<std::string> isolated_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, std::uint64_t> received_;
};

// One daemon's side of the network.
class FakePeerTransport : public PeerTransport {
 public:
  FakePeerTransport(FakePeerNetwork& network,
                    TimerService& timers,
                    std::string address,
                    std::string zone);

  void Exchange(const std::string& address,
                const wire::ExchangeMessage& message,
                ExchangeHandler handler) override;
  void FetchDelta(const std::string& address,
                  ConfigVersion from,
                  ConfigVersion to,
                  DocumentHandler handler) override;
  void FetchDocument(const std::string& address,
                     ConfigVersion version,
                     DocumentHandler handler) override;
  // Not simulated: ends as not sent.
  void Execute(const std::string& address,
               const wire::ForwardRequest& request,
               Duration timeout,
               ForwardHandler handler) override;

 private:
  // Runs `serve` at the called daemon and `handler` here with its result.
  template <typename Reply>
  void Call(const std::string& address,
            std::size_t call_bytes,
            std::function<Reply(PeerHandler&)> serve,
            std::function<std::size_t(const Reply&)> reply_bytes,
            std::function<void(PeerResult<Reply>)> handler);

  FakePeerNetwork& network_;
  TimerService& timers_;
  std::string address_;
  std::string zone_;
};

}  // namespace jujubecove

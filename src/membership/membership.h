#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "kernel/timer_service.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"

namespace jujubecove {

struct MembershipOptions {
  Duration round{1'000'000};
  // While this daemon is joining.
  Duration join_round{100'000};
  // A suspect that has not answered for this long is gone.
  Duration suspicion{3'000'000};
  // Connections of a daemon that was lost count for this long, because it may
  // only be cut off.
  Duration share_grace{10'000'000};
  // Old claims about an incarnation that is gone are refused for this long.
  Duration memory{300'000'000};
  // Least time between two comparisons of whole member lists.
  Duration sync_interval{300'000'000};
  // Joining ends after this at the latest.
  Duration settle_time{5'000'000};
  // Distinct peers that have to answer a joining daemon, if there are as many.
  std::size_t join_answers = 16;
  // Calls in a row that have to fail before a member is suspected: a single
  // reply can be lost.
  std::uint32_t failures_to_suspect = 2;
  std::size_t max_changes = 16;
  std::size_t page_size = 256;
};

// An entry VM in the platform's list, or a peer from the settings.
struct ListedMember {
  VmId id;
  std::string address;
  ZoneName zone;
  bool leaving = false;

  friend bool operator==(const ListedMember&, const ListedMember&) = default;
};

// What travels with each exchange besides the members.
class ExchangeExtension {
 public:
  virtual ~ExchangeExtension() = default;

  virtual void Fill(wire::ExchangeMessage& message) = 0;
  // A message of another daemon, call or reply.
  virtual void OnMessage(const wire::ExchangeMessage& message) = 0;
};

// Knows which entry daemons live. The platform's list, which lags, only names
// addresses to try; evidence from exchanges decides. Each round calls random
// peers, one of this zone and one of another, and carries only changes.
class Membership {
 public:
  using ExchangeHandler = std::function<void(bool answered)>;

  // `self` needs its incarnation, id, address and zone.
  Membership(TimerService& timers,
             PeerTransport& transport,
             wire::Member self,
             std::uint64_t seed,
             MembershipOptions options = {});
  ~Membership();

  void SetExtension(ExchangeExtension* extension) { extension_ = extension; }
  // Called after each change of the members or of their states.
  void SetChangeHandler(std::function<void()> handler) {
    change_handler_ = std::move(handler);
  }
  void Start();
  // The platform's latest list of entry VMs. It is kept while the platform
  // can't be reached.
  void SetListed(std::vector<ListedMember> listed);
  void AnnounceLeaving();

  wire::ExchangeMessage OnExchange(const wire::ExchangeMessage& message);
  // Exchanges with one daemon out of turn.
  void ExchangeWith(const std::string& address, ExchangeHandler handler);

  const wire::Member& self() const { return table_.self(); }
  // Daemons that are taken for live, this one included unless it is leaving.
  const std::vector<wire::Member>& live();
  // Live daemons of this zone other than this one, in random order.
  std::vector<wire::Member> RandomPeers(std::size_t count, bool same_zone);
  // The `count` live daemons of a zone with the highest hash of incarnation and
  // key. Views that agree on the members agree on the choice.
  std::vector<wire::Member> Choose(const std::string& zone,
                                   const std::string& key,
                                   std::size_t count);
  bool IsChosen(const std::string& key, std::size_t count);
  // Daemons that may hold connections to searchers: live, suspected, leaving,
  // lost a short time ago, or listed and not yet tried. At least 1.
  std::size_t share_count();
  // Whether enough peers have answered this incarnation for them to count it.
  bool joined() const { return joined_; }

 private:
  struct Contact {
    ListedMember listed;
    std::uint32_t failures = 0;
    bool answered = false;
  };

  void Round();
  void ScheduleRound();
  void JoinRound();
  void CheckJoined();
  void TryLostContact();
  void ExpireSuspects();
  wire::ExchangeMessage MakeMessage();
  void Learn(const wire::ExchangeMessage& message);
  void OnAnswer(const std::string& address, const wire::ExchangeMessage& reply);
  void OnFailure(const std::string& address);
  void Sync(const std::string& address, std::int64_t after);
  void NotifyIfChanged();

  TimerService& timers_;
  PeerTransport& transport_;
  RandomEngine random_;
  MembershipOptions options_;
  MemberTable table_;
  ExchangeExtension* extension_ = nullptr;
  std::function<void()> change_handler_;
  // By address.
  std::map<std::string, Contact> contacts_;
  bool list_received_ = false;
  bool joined_ = false;
  TimePoint started_;
  TimePoint last_sync_;
  bool synced_ = false;
  std::set<std::string> answered_;
  std::uint32_t sent_since_round_ = 0;
  std::uint64_t notified_revision_ = 0;
  std::uint64_t live_revision_ = 0;
  std::vector<wire::Member> live_;
  TimerId round_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove

#include "daemon/share_exchange.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

constexpr Duration kAskInterval{200'000};
// Calls of one round, which bounds the messages of a join in a large fleet.
constexpr std::size_t kAsksPerRound = 16;

wire::ZoneShare ToWire(const ZoneName& zone,
                       const ShareAcknowledgement& acknowledgement) {
  wire::ZoneShare share;
  share.zone = zone.value();
  share.settled = acknowledgement.settled;
  for (const VmId& id : acknowledgement.live)
    share.live.push_back(id.value());
  for (const ShareAcknowledgement::Gone& gone : acknowledgement.gone) {
    wire::GoneDaemon daemon;
    daemon.id = gone.id.value();
    daemon.live_count = static_cast<std::int32_t>(gone.live_count);
    share.gone.push_back(std::move(daemon));
  }
  return share;
}

ShareAcknowledgement FromWire(const std::string& peer,
                              const wire::ZoneShare& share) {
  ShareAcknowledgement acknowledgement;
  acknowledgement.peer = VmId(peer);
  acknowledgement.settled = share.settled;
  for (const std::string& id : share.live)
    acknowledgement.live.emplace_back(id);
  for (const wire::GoneDaemon& gone : share.gone)
    acknowledgement.gone.push_back(
        {VmId(gone.id),
         static_cast<std::size_t>(std::max(gone.live_count, 1))});
  return acknowledgement;
}

}  // namespace

ShareExchange::ShareExchange(TimerService& timers,
                             Membership& membership,
                             ConnectionShares& shares)
    : timers_(timers), membership_(membership), shares_(shares) {}

void ShareExchange::OnDaemons(const std::vector<EntryDaemon>& daemons) {
  std::map<VmId, TimePoint> counted;
  for (const EntryDaemon& daemon : daemons) {
    auto it = counted_since_.find(daemon.id);
    counted[daemon.id] =
        it == counted_since_.end() ? timers_.Now() : it->second;
  }
  counted_since_ = std::move(counted);
}

bool ShareExchange::IsJoining() const {
  return std::any_of(
      zones_.begin(), zones_.end(),
      [this](const ZoneName& zone) { return !shares_.IsSettled(zone); });
}

void ShareExchange::Step() {
  if (!IsJoining() || timers_.Now() < next_ask_)
    return;
  next_ask_ = timers_.Now() + kAskInterval;
  std::vector<std::string> addresses;
  for (const wire::Member& member : membership_.live()) {
    if (member.incarnation != membership_.self().incarnation &&
        addresses.size() < kAsksPerRound)
      addresses.push_back(member.address);
  }
  for (const std::string& address : addresses)
    membership_.ExchangeWith(address, nullptr);
}

void ShareExchange::Answer(const wire::ExchangeMessage& message,
                           wire::ExchangeMessage& reply) const {
  if (!message.__isset.joining || !message.joining)
    return;
  VmId sender(message.sender.id);
  auto counted = counted_since_.find(sender);
  if (counted == counted_since_.end() ||
      timers_.Now() - counted->second < longest_request_)
    return;
  std::vector<wire::ZoneShare> shares;
  for (const ZoneName& zone : zones_) {
    if (shares_.Counts(zone, sender))
      shares.push_back(ToWire(zone, shares_.Acknowledge(zone)));
  }
  reply.__set_shares(shares);
}

void ShareExchange::Fill(wire::ExchangeMessage& message) {
  if (next_ != nullptr)
    next_->Fill(message);
  if (IsJoining())
    message.__set_joining(true);
}

void ShareExchange::OnMessage(const wire::ExchangeMessage& message) {
  if (next_ != nullptr)
    next_->OnMessage(message);
  if (!message.__isset.shares)
    return;
  for (const wire::ZoneShare& share : message.shares)
    shares_.OnAcknowledged(ZoneName(share.zone),
                           FromWire(message.sender.id, share));
}

}  // namespace jujubecove

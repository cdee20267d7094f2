#include "tests/standin/fake_peer_network.h"

#include <memory>
#include <random>
#include <utility>

#include "peer/peer_codec.h"

namespace jujubecove {
namespace {

constexpr Duration kCallTimeout(500'000);

// IP and TCP headers of a message that shares its packet with nothing else.
constexpr std::size_t kPacketOverheadBytes = 52;

std::size_t ReplyBytes(PeerMethod method, const PeerReply& result) {
  PeerReply reply = result;
  reply.method = method;
  reply.ok = true;
  return EncodeReply(reply).size();
}

}  // namespace

void FakePeerNetwork::Add(const std::string& address,
                          const std::string& zone,
                          TimerService& timers,
                          PeerHandler& handler) {
  nodes_[address] = Node{zone, &timers, &handler, ++lives_};
}

void FakePeerNetwork::SetIsolated(const std::string& zone, bool isolated) {
  if (isolated)
    isolated_.insert(zone);
  else
    isolated_.erase(zone);
}

std::uint64_t FakePeerNetwork::received_bytes(
    const std::string& address) const {
  auto it = received_.find(address);
  return it == received_.end() ? 0 : it->second;
}

FakePeerNetwork::Node* FakePeerNetwork::Find(const std::string& address) {
  auto it = nodes_.find(address);
  return it == nodes_.end() ? nullptr : &it->second;
}

bool FakePeerNetwork::Connected(const std::string& from_zone,
                                const std::string& to_zone) {
  return from_zone == to_zone ||
         (isolated_.count(from_zone) == 0 && isolated_.count(to_zone) == 0);
}

bool FakePeerNetwork::Lost() {
  return loss_ > 0.0 &&
         std::uniform_real_distribution<double>(0.0, 1.0)(random_) < loss_;
}

void FakePeerNetwork::Count(const std::string& address, std::size_t bytes) {
  if (counting_)
    received_[address] += bytes + kPacketOverheadBytes;
}

FakePeerTransport::FakePeerTransport(FakePeerNetwork& network,
                                     TimerService& timers,
                                     std::string address,
                                     std::string zone)
    : network_(network),
      timers_(timers),
      address_(std::move(address)),
      zone_(std::move(zone)) {}

template <typename Reply>
void FakePeerTransport::Call(
    const std::string& address,
    std::size_t call_bytes,
    std::function<Reply(PeerHandler&)> serve,
    std::function<std::size_t(const Reply&)> reply_bytes,
    std::function<void(PeerResult<Reply>)> handler) {
  ++network_.calls_;
  FakePeerNetwork::Node* node = network_.Find(address);
  if (node == nullptr) {
    // Nothing listens there: the connection is refused at once.
    timers_.ScheduleAfter(network_.latency_ * 2, [handler] {
      handler(PeerResult<Reply>{PeerStatus::kNotSent, {}});
    });
    return;
  }
  std::shared_ptr<bool> ended = std::make_shared<bool>(false);
  timers_.ScheduleAfter(kCallTimeout, [ended, handler] {
    if (!std::exchange(*ended, true))
      handler(PeerResult<Reply>{PeerStatus::kUnknown, {}});
  });
  std::string node_zone = node->zone;
  FakePeerNetwork::Node* self = network_.Find(address_);
  std::uint64_t own_life = self == nullptr ? 0 : self->life;
  if (!network_.Connected(zone_, node_zone) || network_.Lost())
    return;
  network_.Count(address, call_bytes);
  node->timers->ScheduleAfter(
      network_.latency_, [=, life = node->life, &network = network_,
                          &timers = timers_, caller = address_, zone = zone_] {
        FakePeerNetwork::Node* target = network.Find(address);
        if (target == nullptr || target->life != life)
          return;
        Reply reply = serve(*target->handler);
        FakePeerNetwork::Node* back = network.Find(caller);
        if (!network.Connected(zone, node_zone) || network.Lost() ||
            back == nullptr || back->life != own_life)
          return;
        network.Count(caller, network.counting_ ? reply_bytes(reply) : 0);
        timers.ScheduleAfter(network.latency_, [ended, handler, reply] {
          if (!std::exchange(*ended, true))
            handler(PeerResult<Reply>{PeerStatus::kDone, reply});
        });
      });
}

void FakePeerTransport::Exchange(const std::string& address,
                                 const wire::ExchangeMessage& message,
                                 ExchangeHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kExchange;
  call.exchange = message;
  Call<wire::ExchangeMessage>(
      address, network_.counting_ ? EncodeCall(call).size() : 0,
      [message](PeerHandler& peer) { return peer.OnExchange(message); },
      [](const wire::ExchangeMessage& exchange) {
        PeerReply reply;
        reply.exchange = exchange;
        return ReplyBytes(PeerMethod::kExchange, reply);
      },
      std::move(handler));
}

void FakePeerTransport::FetchDelta(const std::string& address,
                                   ConfigVersion from,
                                   ConfigVersion to,
                                   DocumentHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kFetchDelta;
  Call<wire::DocumentReply>(
      address, network_.counting_ ? EncodeCall(call).size() : 0,
      [from, to](PeerHandler& peer) { return peer.OnFetchDelta(from, to); },
      [](const wire::DocumentReply& document) {
        PeerReply reply;
        reply.document = document;
        return ReplyBytes(PeerMethod::kFetchDelta, reply);
      },
      std::move(handler));
}

void FakePeerTransport::FetchDocument(const std::string& address,
                                      ConfigVersion version,
                                      DocumentHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kFetchDocument;
  Call<wire::DocumentReply>(
      address, network_.counting_ ? EncodeCall(call).size() : 0,
      [version](PeerHandler& peer) { return peer.OnFetchDocument(version); },
      [](const wire::DocumentReply& document) {
        PeerReply reply;
        reply.document = document;
        return ReplyBytes(PeerMethod::kFetchDocument, reply);
      },
      std::move(handler));
}

void FakePeerTransport::Execute(const std::string&,
                                const wire::ForwardRequest&,
                                Duration,
                                ForwardHandler handler) {
  timers_.ScheduleAfter(Duration(), [handler = std::move(handler)] {
    handler(PeerResult<wire::ForwardReply>{PeerStatus::kNotSent, {}});
  });
}

}  // namespace jujubecove

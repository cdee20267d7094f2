#include "peer/peer_client.h"

#include <utility>

namespace jujubecove {
namespace {

constexpr std::size_t kMaxReplyBytes = 8U << 20U;
// Peers above this number are dropped if they were not called for some time.
constexpr std::size_t kMaxUnusedPeers = 16;
constexpr Duration kUnusedAfter = std::chrono::seconds(60);

}  // namespace

void PeerClient::Call(const SocketAddress& peer,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body,
                      Duration timeout,
                      HttpClient::Done done) {
  EvictUnused();
  Peer& entry = peers_[peer.ToString()];
  if (!entry.client) {
    entry.client =
        std::make_unique<HttpClient>(context_, timers_, peer, kMaxReplyBytes);
  }
  entry.last_call = timers_.Now();
  entry.client->Call(method, target, body, timeout, std::move(done));
}

void PeerClient::EvictUnused() {
  if (peers_.size() <= kMaxUnusedPeers)
    return;
  TimePoint now = timers_.Now();
  std::erase_if(peers_, [now](const auto& it) {
    return now - it.second.last_call > kUnusedAfter &&
           it.second.client->IsUnused();
  });
}

}  // namespace jujubecove

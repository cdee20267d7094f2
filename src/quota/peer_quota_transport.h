#pragma once

#include <string>

#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "quota/quota_transport.h"

namespace jujubecove {

// Paths of the calls between entry daemons about rate limits.
inline constexpr char kQuotaAskPath[] = "/quota/ask";
inline constexpr char kQuotaAnnouncePath[] = "/quota/announce";
inline constexpr char kQuotaStatePath[] = "/quota/state";

// Asks the owners on other VMs over HTTP, with JSON bodies.
class PeerQuotaTransport : public QuotaTransport {
 public:
  explicit PeerQuotaTransport(PeerClient& client) : client_(client) {}

  void Ask(const QuotaOwnerVm& owner,
           const TokenRequest& request,
           GrantHandler done) override;
  void Announce(const DaemonEntry& peer,
                const DaemonEntry& own,
                AckHandler done) override;

 private:
  PeerClient& client_;
};

// Codecs of the bodies; nullopt if a body is malformed.
std::string EncodeTokenRequest(const TokenRequest& request);
std::optional<TokenRequest> DecodeTokenRequest(const std::string& body);
std::string EncodeTokenGrant(const TokenGrant& grant);
std::optional<TokenGrant> DecodeTokenGrant(const std::string& body);
std::string EncodeAnnouncement(const DaemonEntry& entry);
std::optional<DaemonEntry> DecodeAnnouncement(const std::string& body);

}  // namespace jujubecove

#pragma once

#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "relay/change_relay.h"
#include "relay/reader_link.h"

namespace jujubecove {

// Polls other entry daemons over their peer addresses.
class PeerReaderLink : public ReaderLink {
 public:
  explicit PeerReaderLink(PeerClient& client) : client_(client) {}

  void Poll(const DaemonEntry& reader,
            const ChangesQuery& query,
            Duration timeout,
            Done done) override;

 private:
  PeerClient& client_;
};

// Lets `server` answer polls of other entry daemons from `relay`.
void ServeChanges(PeerServer& server, ChangeRelay& relay);

}  // namespace jujubecove

#include "relay/peer_reader_link.h"

#include <utility>

namespace jujubecove {
namespace {

constexpr char kChangesPath[] = "/store/changes";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

}  // namespace

void PeerReaderLink::Poll(const DaemonEntry& reader,
                          const ChangesQuery& query,
                          Duration timeout,
                          Done done) {
  client_.Call(reader.peer_address.value_or(SocketAddress{}), "POST",
               kChangesPath, Encode(query), timeout,
               [done = std::move(done)](const HttpExchange& exchange) {
                 bool answered =
                     exchange.reply && exchange.reply->status == kStatusOk;
                 done(answered ? DecodeChangesReply(exchange.reply->body)
                               : std::nullopt);
               });
}

void ServeChanges(PeerServer& server, ChangeRelay& relay) {
  server.Handle(kChangesPath, [&relay](const PeerRequest& request,
                                       PeerServer::Done done) {
    std::optional<ChangesQuery> query = DecodeChangesQuery(request.body);
    if (!query) {
      done({.status = kStatusBadRequest, .body = "{}"});
      return;
    }
    relay.Poll(*query, [done = std::move(done)](const ChangesReply& reply) {
      done({.body = Encode(reply)});
    });
  });
}

}  // namespace jujubecove

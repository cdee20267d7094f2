#pragma once

#include <functional>
#include <map>
#include <string>

#include "ingress/ingress_server.h"

namespace jujubecove {

// A call of another entry daemon.
struct PeerRequest {
  std::string path;
  // The part of the target after the question mark.
  std::string query;
  std::string body;
};

struct PeerReply {
  int status = 200;
  // JSON.
  std::string body;
};

// Answers calls of other entry daemons over HTTP. Each part of the daemon that
// talks to its counterpart on other VMs has paths of its own.
class PeerServer : public IngressHost {
 public:
  using Done = std::function<void(PeerReply)>;
  // Calls `done` exactly once, possibly later.
  using Handler = std::function<void(const PeerRequest& request, Done done)>;

  PeerServer(boost::asio::io_context& context,
             TimerService& timers,
             std::size_t max_connections,
             CallerMemory* memory = nullptr);

  void Handle(const std::string& path, Handler handler);
  Result<void> Listen(const SocketAddress& address);

  const IngressLimits& limits() const override { return limits_; }
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override;
  bool ClosesConnections() const override { return false; }
  void OnRequestRejected(ErrorKind kind, const std::string& reason) override;

 private:
  class Protocol : public CallerProtocol {
   public:
    Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                           TimePoint received) const override;
    IngressAnswer EncodeAnswer(CallerAnswer answer,
                               const std::string& request_id) const override;
  };

  IngressLimits limits_;
  Protocol protocol_;
  std::map<std::string, Handler> handlers_;
  IngressServer server_;
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "kernel/timer_service.h"
#include "peer/peer_codec.h"
#include "peer/peer_transport.h"

namespace jujubecove {

struct PeerClientOptions {
  // Bound on Exchange, from connecting to the last byte.
  Duration exchange_timeout{500'000};
  // Bound on FetchDelta and FetchDocument.
  Duration document_timeout{2'000'000};
  // Idle connections are closed after this.
  Duration idle_timeout{10'000'000};
  // Calls that wait for a reply on one connection; more fail as not sent.
  std::size_t max_pending = 1024;
};

// Calls other daemons over one connection for each address, with any number of
// calls under way. A call that times out closes its connection, so that the
// next call does not meet one that went silent.
class PeerClient : public PeerTransport {
 public:
  PeerClient(boost::asio::io_context& context,
             TimerService& timers,
             PeerClientOptions options);
  // Calls that are under way end without their handlers being run.
  ~PeerClient() override;

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
  void Execute(const std::string& address,
               const wire::ForwardRequest& request,
               Duration timeout,
               ForwardHandler handler) override;

  std::size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;
  using ReplyHandler = std::function<void(PeerStatus, PeerReply)>;

  void Call(const std::string& address,
            PeerCall call,
            Duration timeout,
            ReplyHandler handler);
  void ScheduleIdleCheck();
  void CloseIdle();

  boost::asio::io_context& context_;
  TimerService& timers_;
  PeerClientOptions options_;
  std::map<std::string, std::shared_ptr<Connection>> connections_;
  TimerId idle_timer_;
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "ingress/ingress_connection.h"
#include "settings/socket_address.h"

namespace jujubecove {

// Accepts callers' connections and limits their number and idle time.
class IngressServer {
 public:
  IngressServer(boost::asio::io_context& context,
                TimerService& timers,
                IngressHost& host,
                const CallerProtocol& protocol,
                std::size_t max_connections);

  Result<void> Listen(const SocketAddress& address);
  // Closes the listening socket, after the connections that wait in its queue
  // were accepted.
  void StopAccepting();
  // Closes connections that have been idle for at least `idle`, after pending
  // handlers have run.
  void CloseIdle(Duration idle);
  // See IngressConnection.
  void RefuseIfNotRun();
  void EndNow();
  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept();
  void AcceptQueued();
  void Add(boost::asio::ip::tcp::socket socket);
  void CheckTimeouts();
  // A copy, since connections remove themselves.
  std::vector<std::shared_ptr<IngressConnection>> AllConnections() const;
  // Closes the connection that has waited longest for its caller, to make room
  // for a new one.
  void CloseLongestWaiting();

  boost::asio::io_context& context_;
  TimerService& timers_;
  IngressHost& host_;
  const CallerProtocol& protocol_;
  std::size_t max_connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<IngressConnection*, std::shared_ptr<IngressConnection>>
      connections_;
};

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "ingress/ingress_connection.h"
#include "settings/socket_address.h"

namespace jujubecove {

// Accepts callers' connections and limits their number and idle time. At the
// limit, a new connection takes the place of the one that has waited longest
// for its caller to send or to read; while all have requests in progress, it
// waits.
class IngressServer {
 public:
  // Memory is limited if `memory` is given.
  IngressServer(boost::asio::io_context& context,
                TimerService& timers,
                IngressHost& host,
                const CallerProtocol& protocol,
                std::size_t max_connections,
                CallerMemory* memory = nullptr);

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
  // Connections closed to make room for new ones since the start.
  std::uint64_t displaced() const { return displaced_; }

 private:
  void Accept();
  void OnAcceptFailed(const boost::system::error_code& ec);
  // Adds the accepted connection as soon as there is room, and accepts the
  // next one.
  void Admit();
  void AcceptQueued();
  void Add(boost::asio::ip::tcp::socket socket);
  void CheckTimeouts();
  // A copy, since connections remove themselves.
  std::vector<std::shared_ptr<IngressConnection>> AllConnections() const;
  // Closes the connection that has waited longest for its caller, to make room
  // for a new one. Returns whether there was one.
  bool CloseLongestWaiting();

  boost::asio::io_context& context_;
  TimerService& timers_;
  IngressHost& host_;
  const CallerProtocol& protocol_;
  std::size_t max_connections_;
  CallerMemory* memory_;
  std::uint64_t displaced_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Accepted, but there was no room for it yet.
  std::optional<boost::asio::ip::tcp::socket> waiting_;
  std::unordered_map<IngressConnection*, std::shared_ptr<IngressConnection>>
      connections_;
};

}  // namespace jujubecove

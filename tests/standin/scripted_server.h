#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "settings/socket_address.h"

namespace jujubecove {

// A TCP server on the loopback address whose replies are given as raw bytes.
class ScriptedServer {
 public:
  struct Reaction {
    std::string bytes;
    bool close = false;
    // Closes with a TCP reset.
    bool reset = false;
  };
  // Called with the bytes of each complete request head.
  using Script = std::function<Reaction(const std::string& head)>;

  ScriptedServer(boost::asio::io_context& context, Script script);
  ~ScriptedServer();

  SocketAddress address() const;
  int accepted() const { return accepted_; }
  // Writes to all open connections.
  void WriteToAll(const std::string& bytes);
  void CloseAll();

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}
    boost::asio::ip::tcp::socket socket;
    std::string received;
    std::array<char, 4096> buf{};
  };

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void AnswerRequests(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& context_;
  Script script_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
  int accepted_ = 0;
};

}  // namespace jujubecove

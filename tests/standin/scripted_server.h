#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "settings/socket_address.h"

namespace jujubecove {

// A TCP server on the loopback address whose replies are given as raw bytes.
class ScriptedServer {
 public:
  struct Piece {
    std::chrono::milliseconds delay;
    std::string bytes;
  };
  struct Reaction {
    std::string bytes;
    bool close = false;
    // Closes with a TCP reset.
    bool reset = false;
    // Written afterwards, one after the other.
    std::vector<Piece> pieces = {};
    // Written again and again afterwards, until the client closes.
    Piece repeated = {};
  };
  // Called with the bytes of each complete request head.
  using Script = std::function<Reaction(const std::string& head)>;

  ScriptedServer(boost::asio::io_context& context, Script script);
  ~ScriptedServer();

  SocketAddress address() const;
  int accepted() const { return accepted_; }
  // Bytes that were written for `pieces` and `repeated`.
  std::size_t streamed_bytes() const { return streamed_bytes_; }
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
  // Writes the piece with this number, or the repeated bytes after the last.
  void Stream(const std::shared_ptr<Connection>& connection,
              const std::shared_ptr<const Reaction>& reaction,
              std::size_t piece);

  boost::asio::io_context& context_;
  Script script_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
  int accepted_ = 0;
  std::size_t streamed_bytes_ = 0;
};

}  // namespace jujubecove

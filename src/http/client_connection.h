#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/units.h"
#include "http/header_field.h"
#include "settings/socket_address.h"

namespace jujubecove {

// A complete reply as it was read from a connection.
struct WireReply {
  int status = 0;
  HeaderFields headers;
  std::string body;
  // Whether the sender keeps the connection open after it.
  bool keep_alive = false;
};

// How an exchange on a connection ended.
struct HttpExchange {
  std::optional<WireReply> reply;
  // Whether any byte of the request may have reached the peer.
  bool written = false;
  // Says what went wrong when there is no reply.
  std::string failure;
};

// One TCP connection to an HTTP/1.1 server with at most one request at a time.
// It reads all the time, so that a close, a reset or bytes that belong to no
// request are noticed while it is idle. Timeouts are the owner's: it calls
// Close, after which no callback runs.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State : std::uint8_t { kConnecting, kIdle, kBusy, kClosed };

  struct Callbacks {
    // The connection is idle for the first time.
    std::function<void()> connected;
    std::function<void(const std::string& reason)> connect_failed;
    // It was closed or broken while it was idle.
    std::function<void(const std::string& reason)> closed;
    // Ends each exchange exactly once. Afterwards the connection is idle or
    // closed.
    std::function<void(HttpExchange)> finished;
    // Whether a reply belongs to the request under way. One that does not is
    // dropped, and the connection is closed after the exchange.
    std::function<bool(const WireReply&)> matches_request;
  };

  // Replies with a larger body are refused.
  ClientConnection(boost::asio::io_context& context,
                   std::size_t max_reply_bytes);

  void Connect(const SocketAddress& address, Callbacks callbacks);
  // Only while idle. `is_head` says that the reply has no body.
  void Send(std::string head,
            std::shared_ptr<const std::string> body,
            bool is_head);
  void Close();

  State state() const { return state_; }
  // How long the peer said it keeps an idle connection.
  std::optional<Duration> keep_alive_timeout() const { return keep_alive_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  void ParseBuffered();
  void OnReplyComplete();
  WireReply TakeReply();
  void OnEnd(const boost::system::error_code& ec);
  void Finish(HttpExchange exchange, bool keep);
  void Fail(std::function<void(const std::string&)> handler,
            const std::string& reason);

  // Enough for most parts in one read.
  static constexpr std::size_t kReadBytes = 4096;

  boost::asio::ip::tcp::socket socket_;
  std::size_t max_reply_bytes_;
  Callbacks callbacks_;
  State state_ = State::kConnecting;
  // The buffers of the request are in use until the write ends.
  bool writing_ = false;
  bool is_head_ = false;
  // Bytes came that belong to no request; the connection can't be used again.
  bool polluted_ = false;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::optional<Parser> parser_;
  std::optional<Duration> keep_alive_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace jujubecove

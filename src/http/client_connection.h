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
#include "http/reply_budget.h"
#include "settings/socket_address.h"

namespace jujubecove {

// A complete HTTP reply as read from a connection.
struct WireReply {
  int status = 0;
  HeaderFields headers;
  std::string body;
  // Whether the server keeps the connection open after this reply.
  bool keep_alive = false;
};

// The result of one request on a connection.
struct HttpExchange {
  std::optional<WireReply> reply;
  // Whether any byte of the request may have reached the peer.
  bool written = false;
  // What went wrong, if there is no reply.
  std::string failure;
  // Whether there is no reply because it is larger than allowed, so that the
  // same request would fail again.
  bool too_large = false;
};

// What a connection does with a complete reply.
enum class ReplyUse : std::uint8_t {
  kAccept,
  // Accepts it, but the connection can't carry another request.
  kAcceptAndClose,
  // The reply belongs to another request. It is dropped, and the connection is
  // closed after the exchange.
  kSkip,
};

// One TCP connection to an HTTP/1.1 server with at most one request at a time.
// It always reads, to detect a close, a reset or unsolicited bytes while idle.
// The owner handles timeouts by calling Close, after which no callback runs.
// Bytes, interim replies and skipped replies of one exchange are limited, and
// so are the bytes that are taken from the socket at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private ReplyBudget::Holder {
 public:
  enum class State : std::uint8_t { kConnecting, kIdle, kBusy, kClosed };

  struct Callbacks {
    // The connection was established and is idle.
    std::function<void()> connected;
    std::function<void(const std::string& reason)> connect_failed;
    // The connection was closed or reset, or received bytes, while idle.
    std::function<void(const std::string& reason)> closed;
    // Called exactly once per request. The connection is then idle or closed.
    std::function<void(HttpExchange)> finished;
    // Decides on each complete reply to the request in progress. Without it,
    // all are accepted.
    std::function<ReplyUse(const WireReply&)> classify_reply;
  };

  // A reply with a larger body ends the exchange with a failure. Replies that
  // are being received count towards `budget`, if it is given.
  ClientConnection(boost::asio::io_context& context,
                   std::size_t max_reply_bytes,
                   ReplyBudget* budget = nullptr);
  ~ClientConnection() override;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void Connect(const SocketAddress& address, Callbacks callbacks);
  // Precondition: idle. `is_head` is set for HEAD requests, whose replies have
  // no body.
  void Send(std::string head,
            std::shared_ptr<const std::string> body,
            bool is_head);
  void Close();

  State state() const { return state_; }
  // Idle timeout that the server announced in a Keep-Alive field.
  std::optional<Duration> keep_alive_timeout() const { return keep_alive_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnEvicted() override;
  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  void ParseBuffered();
  void StartParser();
  // Ends the exchange if the server has sent more than one exchange may take.
  // Returns whether it goes on.
  bool CheckLimits();
  void OnReplyComplete();
  WireReply TakeReply();
  void OnReadError(const boost::system::error_code& ec);
  void Finish(HttpExchange exchange, bool keep);
  void FailExchange(const std::string& reason);
  void FailTooLarge(const std::string& reason);
  void Fail(std::function<void(const std::string&)> handler,
            const std::string& reason);

  // Holds most replies of a shard in one read.
  static constexpr std::size_t kReadBytes = 4096;

  boost::asio::ip::tcp::socket socket_;
  std::size_t max_reply_bytes_;
  ReplyBudget* budget_;
  Callbacks callbacks_;
  State state_ = State::kConnecting;
  // While set, the pending write uses head_ and body_.
  bool writing_ = false;
  bool is_head_ = false;
  // Bytes, interim replies and skipped replies of the current exchange. A
  // connection with a skipped reply can't be reused.
  std::size_t exchange_bytes_ = 0;
  int interim_replies_ = 0;
  int skipped_replies_ = 0;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::optional<Parser> parser_;
  std::optional<Duration> keep_alive_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace jujubecove

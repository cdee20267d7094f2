#include "http/client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "http/parser_input.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Also limits the other parts that a parser takes as a whole: the head of a
// chunk with its extensions, and the trailers.
constexpr std::uint32_t kMaxReplyHeaderBytes = 32768;
// Framing may take as many bytes as the body.
constexpr std::size_t kExchangeBytesPerBodyByte = 2;
// Servers have no reason to send more of them for one request.
constexpr int kMaxInterimReplies = 8;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstInterim = 100;
constexpr unsigned kFirstFinal = 200;
constexpr unsigned kLastFinal = 599;
constexpr int kMaxSkippedReplies = 4;

// Whether the head is that of a final reply, or of an interim one, which has no
// body. No request asks for another protocol.
template <typename Header>
bool IsValidHead(const Header& header) {
  unsigned status = header.result_int();
  if (status >= kFirstFinal)
    return status <= kLastFinal;
  return status >= kFirstInterim && status != kSwitchingProtocols &&
         header.count(http::field::content_length) == 0 &&
         header.count(http::field::transfer_encoding) == 0;
}

std::optional<Duration> ParseKeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kKey = "timeout=";
  std::size_t at = value.find(kKey);
  if (at == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(at + kKey.size());
  int seconds = 0;
  auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (error != std::errc() || seconds < 0)
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& context,
                                   std::size_t max_reply_bytes,
                                   ReplyBudget* budget)
    : socket_(context), max_reply_bytes_(max_reply_bytes), budget_(budget) {}

ClientConnection::~ClientConnection() {
  if (budget_ != nullptr)
    budget_->Release(*this);
}

void ClientConnection::Connect(const SocketAddress& address,
                               Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  error_code ec;
  boost::asio::ip::address ip = boost::asio::ip::make_address(address.ip, ec);
  std::shared_ptr<ClientConnection> self = shared_from_this();
  socket_.async_connect(
      tcp::endpoint(ip, address.port), [self](const error_code& ec) {
        if (self->state_ == State::kClosed)
          return;
        if (ec) {
          self->Fail(self->callbacks_.connect_failed,
                     "connect: " + ec.message());
          return;
        }
        error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->state_ = State::kIdle;
        self->Read();
        // The callback may close the connection.
        std::function<void()> connected = self->callbacks_.connected;
        connected();
      });
}

void ClientConnection::Send(std::string head,
                            std::shared_ptr<const std::string> body,
                            bool is_head) {
  state_ = State::kBusy;
  is_head_ = is_head;
  head_ = std::move(head);
  body_ = std::move(body);
  parser_.reset();
  exchange_bytes_ = 0;
  interim_replies_ = 0;
  std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(head_),
      body_ ? boost::asio::buffer(*body_) : boost::asio::const_buffer()};
  writing_ = true;
  std::shared_ptr<ClientConnection> self = shared_from_this();
  // A write error is ignored: the server may have replied before it read the
  // whole request. The read decides how the exchange ends.
  boost::asio::async_write(
      socket_, buffers,
      [self](const error_code&, std::size_t) { self->writing_ = false; });
}

void ClientConnection::Close() {
  state_ = State::kClosed;
  callbacks_ = Callbacks();
  parser_.reset();
  // A pending handler may keep the closed connection for longer than the budget
  // lives.
  if (budget_ != nullptr)
    budget_->Release(*this);
  budget_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

void ClientConnection::OnEvicted() {
  FailExchange("the replies of all searchers take too much memory");
}

void ClientConnection::Read() {
  std::shared_ptr<ClientConnection> self = shared_from_this();
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self](const error_code& ec, std::size_t size) {
                            if (self->state_ != State::kClosed)
                              self->OnRead(ec, size);
                          });
}

void ClientConnection::OnRead(const error_code& ec, std::size_t size) {
  buffer_.commit(size);
  if (state_ == State::kIdle) {
    Fail(callbacks_.closed,
         ec ? "closed by the server" : "bytes without a request");
    return;
  }
  if (ec) {
    OnReadError(ec);
    return;
  }
  exchange_bytes_ += size;
  ParseBuffered();
  if (state_ == State::kBusy && !CheckLimits())
    return;
  if (state_ == State::kBusy || state_ == State::kIdle)
    Read();
}

bool ClientConnection::CheckLimits() {
  bool too_long =
      exchange_bytes_ > kExchangeBytesPerBodyByte * max_reply_bytes_ ||
      buffer_.size() > kMaxReplyHeaderBytes;
  if (too_long) {
    FailTooLarge("the reply is too long");
    return false;
  }
  if (interim_replies_ > kMaxInterimReplies ||
      skipped_replies_ > kMaxSkippedReplies) {
    FailExchange("too many replies for one request");
    return false;
  }
  if (budget_ != nullptr)
    budget_->Update(*this, exchange_bytes_);
  return state_ == State::kBusy;
}

void ClientConnection::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxReplyHeaderBytes);
  parser_->body_limit(max_reply_bytes_);
  parser_->skip(is_head_);
}

void ClientConnection::ParseBuffered() {
  while (state_ == State::kBusy && buffer_.size() > 0) {
    if (!parser_)
      StartParser();
    if (!CanParse(*parser_, buffer_.size()))
      return;
    bool had_head = parser_->is_header_done();
    error_code ec;
    std::size_t used = parser_->put(buffer_.data(), ec);
    buffer_.consume(used);
    if (!had_head && parser_->is_header_done() &&
        !IsValidHead(parser_->get())) {
      FailExchange("invalid reply with status " +
                   std::to_string(parser_->get().result_int()));
      return;
    }
    if (ec == http::error::need_more)
      return;
    if (ec == http::error::body_limit) {
      FailTooLarge(ec.message());
      return;
    }
    if (ec) {
      FailExchange("malformed reply: " + ec.message());
      return;
    }
    if (parser_->is_done())
      OnReplyComplete();
    else if (used == 0)
      return;
  }
}

WireReply ClientConnection::TakeReply() {
  WireReply reply;
  reply.keep_alive = parser_->keep_alive() && !parser_->need_eof();
  http::response<http::string_body> message = parser_->release();
  parser_.reset();
  reply.status = static_cast<int>(message.result_int());
  for (const auto& it : message.base()) {
    reply.headers.push_back(
        HeaderField{std::string(it.name_string()), std::string(it.value())});
  }
  reply.body = std::move(message.body());
  std::string_view keep_alive = FindHeader(reply.headers, "Keep-Alive");
  if (!keep_alive.empty())
    keep_alive_ = ParseKeepAliveTimeout(keep_alive);
  return reply;
}

void ClientConnection::OnReplyComplete() {
  WireReply reply = TakeReply();
  if (reply.status < static_cast<int>(kFirstFinal)) {
    ++interim_replies_;
    return;
  }
  ReplyUse use = callbacks_.classify_reply ? callbacks_.classify_reply(reply)
                                           : ReplyUse::kAccept;
  if (use == ReplyUse::kSkip) {
    ++skipped_replies_;
    if (!reply.keep_alive)
      FailExchange("only a reply to another request");
    return;
  }
  // If the request is still being written, the server would read its rest as
  // the start of the next request.
  bool keep = reply.keep_alive && use == ReplyUse::kAccept &&
              skipped_replies_ == 0 && !writing_ && buffer_.size() == 0;
  Finish({.reply = std::move(reply), .written = true}, keep);
}

// A reply without a length ends with an orderly close of the connection; after
// a reset it is incomplete.
void ClientConnection::OnReadError(const error_code& ec) {
  if (ec == boost::asio::error::eof && parser_ && parser_->is_header_done()) {
    error_code ignored;
    parser_->put_eof(ignored);
    if (!ignored && parser_->is_done()) {
      OnReplyComplete();
      if (state_ == State::kBusy)
        FailExchange("closed before the reply");
      return;
    }
  }
  std::string where = parser_ ? "within the reply" : "before the reply";
  FailExchange("connection ended " + where + ": " + ec.message());
}

void ClientConnection::FailExchange(const std::string& reason) {
  Finish({.written = true, .failure = reason}, false);
}

void ClientConnection::FailTooLarge(const std::string& reason) {
  Finish({.written = true, .failure = reason, .too_large = true}, false);
}

void ClientConnection::Finish(HttpExchange exchange, bool keep) {
  parser_.reset();
  std::function<void(HttpExchange)> finished = callbacks_.finished;
  if (budget_ != nullptr)
    budget_->Release(*this);
  if (keep)
    state_ = State::kIdle;
  else
    Close();
  finished(std::move(exchange));
}

void ClientConnection::Fail(std::function<void(const std::string&)> handler,
                            const std::string& reason) {
  Close();
  handler(reason);
}

}  // namespace jujubecove

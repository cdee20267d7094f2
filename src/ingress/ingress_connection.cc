#include "ingress/ingress_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "http/parser_input.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of pipelined requests that are buffered while one runs.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Room for the parts that a parser takes as a whole: the header, the head of a
// chunk with its extensions, and the trailers.
constexpr std::size_t kUnparsedReserve = 4096;
// Time for the caller to close after the last answer of a connection.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// Between the end of the handshake and the first request.
constexpr Duration kMaxHandshakeTime = std::chrono::milliseconds(100);
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp11 = 11;

ErrorKind ErrorKindOf(const error_code& ec) {
  if (ec == http::error::header_limit)
    return ErrorKind::kHeaderTooLarge;
  if (ec == http::error::body_limit)
    return ErrorKind::kPayloadTooLarge;
  return ErrorKind::kBadRequest;
}

}  // namespace

IngressConnection::IngressConnection(
    boost::asio::ip::tcp::socket socket,
    TimerService& timers,
    IngressHost& host,
    const CallerProtocol& protocol,
    std::function<void(IngressConnection*)> closed)
    : socket_(std::move(socket)),
      timers_(timers),
      host_(host),
      protocol_(protocol),
      closed_(std::move(closed)),
      accepted_(timers.Now()),
      last_progress_(accepted_) {}

void IngressConnection::Start() {
  error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  AwaitReadable();
}

void IngressConnection::Close() {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  if (run_)
    run_->Abandon();
  run_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
  closed_(this);
}

void IngressConnection::AwaitReadable() {
  if (awaiting_readable_ || state_ == State::kClosed)
    return;
  awaiting_readable_ = true;
  std::shared_ptr<IngressConnection> self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self](const error_code&) {
                       self->awaiting_readable_ = false;
                       if (self->state_ != State::kClosed)
                         self->Read();
                     });
}

void IngressConnection::Read() {
  error_code ec;
  std::size_t size = socket_.read_some(buffer_.prepare(kReadBytes), ec);
  if (ec == boost::asio::error::would_block)
    AwaitReadable();
  else
    OnRead(ec, size);
}

void IngressConnection::OnRead(const error_code& ec, std::size_t size) {
  buffer_.commit(size);
  if (ec) {
    Close();
    return;
  }
  if (lingering_) {
    buffer_.clear();
    AwaitReadable();
    return;
  }
  last_progress_ = timers_.Now();
  if (state_ == State::kReading)
    ParseBuffered();
  if (state_ == State::kReading &&
      buffer_.size() > host_.limits().max_header_bytes + kUnparsedReserve) {
    Reject(ErrorKind::kHeaderTooLarge, "a part of the request is too long");
    return;
  }
  // A caller that pipelines too much is not read from until its answer has
  // been written.
  if (state_ == State::kReading ||
      (state_ != State::kClosed && buffer_.size() < kMaxPipelinedBytes))
    AwaitReadable();
}

bool IngressConnection::HasUnreadBytes() const {
  error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

void IngressConnection::ParseBuffered() {
  while (state_ == State::kReading && buffer_.size() > 0) {
    if (!ParseStep())
      return;
  }
}

void IngressConnection::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  const IngressLimits& limits = host_.limits();
  parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
  request_started_ = timers_.Now();
  request_id_.clear();
  head_only_ = false;
  continue_sent_ = false;
}

bool IngressConnection::ParseStep() {
  if (!parser_)
    StartParser();
  if (!CanParse(*parser_, buffer_.size()))
    return false;
  bool had_header = parser_->is_header_done();
  error_code ec;
  std::size_t used = parser_->put(buffer_.data(), ec);
  buffer_.consume(used);
  if (ec && ec != http::error::need_more) {
    OnParseError(ec);
    return false;
  }
  if (!had_header && parser_->is_header_done() && !CheckHeader())
    return false;
  if (parser_->is_done()) {
    OnRequest();
    return true;
  }
  return used > 0 && ec != http::error::need_more;
}

// Rejects ambiguous headers, which a searcher might interpret differently
// (request smuggling).
bool IngressConnection::CheckHeader() {
  const auto& header = parser_->get();
  if (header.version() != kHttp11 && header.version() != 10) {
    Reject(ErrorKind::kBadRequest, "unsupported version of HTTP");
    return false;
  }
  if (header.count(http::field::transfer_encoding) > 0 &&
      !boost::beast::iequals(header[http::field::transfer_encoding],
                             "chunked")) {
    Reject(ErrorKind::kBadRequest, "unsupported transfer encoding");
    return false;
  }
  if (header.count(http::field::host) != 1 ||
      header.count(http::field::content_length) > 1) {
    Reject(ErrorKind::kBadRequest, "missing or repeated header field");
    return false;
  }
  if (!parser_->is_done() && !continue_sent_ &&
      boost::beast::iequals(header[http::field::expect], "100-continue")) {
    continue_sent_ = true;
    error_code ignored;
    socket_.write_some(boost::asio::buffer(kContinue, sizeof kContinue - 1),
                       ignored);
  }
  return true;
}

void IngressConnection::OnParseError(const error_code& ec) {
  Reject(ErrorKindOf(ec), ec.message());
}

void IngressConnection::OnRequest() {
  bool keep_alive = parser_->keep_alive();
  http::request<http::string_body> message = parser_->release();
  parser_.reset();
  head_only_ = message.method() == http::verb::head;
  IngressRequest raw;
  raw.method = std::string(message.method_string());
  raw.target = std::string(message.target());
  for (const auto& it : message.base()) {
    raw.headers.push_back(
        HeaderField{std::string(it.name_string()), std::string(it.value())});
  }
  raw.body = std::move(message.body());
  // A caller that had the connection in reserve did not wait for it.
  raw.on_new_connection = std::exchange(first_request_, false) &&
                          timers_.Now() - accepted_ < kMaxHandshakeTime;
  Result<ForwardedRequest> request =
      protocol_.DecodeRequest(std::move(raw), timers_.Now());
  if (!request) {
    Reject(request.error().kind, request.error().detail);
    return;
  }
  request_id_ = request.value().id;
  state_ = State::kRunning;
  std::weak_ptr<IngressConnection> self = weak_from_this();
  run_ = host_.Submit(
      std::make_shared<const ForwardedRequest>(std::move(request.value())),
      [self, keep_alive](CallerAnswer answer) {
        std::shared_ptr<IngressConnection> connection = self.lock();
        if (connection && connection->state_ == State::kRunning)
          connection->Answer(std::move(answer), keep_alive);
      });
  if (state_ != State::kRunning)
    run_ = nullptr;
}

void IngressConnection::Reject(ErrorKind kind, const std::string& reason) {
  host_.OnRequestRejected(kind, reason);
  CallerAnswer answer;
  answer.error = kind;
  answer.reason = reason;
  Answer(std::move(answer), false);
}

void IngressConnection::Answer(CallerAnswer answer, bool keep_alive) {
  run_ = nullptr;
  Write(protocol_.EncodeAnswer(std::move(answer), request_id_),
        keep_alive && !host_.ClosesConnections());
}

void IngressConnection::Write(IngressAnswer answer, bool keep_alive) {
  state_ = State::kWriting;
  auto status = static_cast<http::status>(answer.status);
  head_out_ = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  head_out_ += http::obsolete_reason(status);
  head_out_ += "\r\n";
  for (const HeaderField& it : answer.headers)
    head_out_ += it.name + ": " + it.value + "\r\n";
  bool has_body = answer.status != 204 && answer.status != 304;
  if (has_body && !head_only_) {
    head_out_ +=
        "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  }
  if (!keep_alive)
    head_out_ += "Connection: close\r\n";
  head_out_ += "\r\n";
  body_out_ = has_body && !head_only_ ? std::move(answer.body) : std::string();
  std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(head_out_), boost::asio::buffer(body_out_)};
  std::shared_ptr<IngressConnection> self = shared_from_this();
  last_progress_ = timers_.Now();
  boost::asio::async_write(
      socket_, buffers, [self, keep_alive](const error_code& ec, std::size_t) {
        if (self->state_ != State::kClosed)
          self->OnWritten(ec, keep_alive);
      });
}

void IngressConnection::OnWritten(const error_code& ec, bool keep_alive) {
  last_progress_ = timers_.Now();
  if (ec) {
    Close();
    return;
  }
  if (!keep_alive) {
    Linger();
    return;
  }
  state_ = State::kReading;
  ParseBuffered();
  AwaitReadable();
}

// Closing a socket with unread bytes resets the connection, and the caller
// could lose the answer. So the caller gets time to close first.
void IngressConnection::Linger() {
  lingering_ = true;
  buffer_.clear();
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  std::weak_ptr<IngressConnection> self = weak_from_this();
  timers_.ScheduleAfter(kLingerTimeout, [self] {
    if (std::shared_ptr<IngressConnection> connection = self.lock())
      connection->Close();
  });
  AwaitReadable();
}

void IngressConnection::RefuseIfNotRun() {
  // The answer releases run_.
  if (std::shared_ptr<PendingRequest> run = run_)
    run->RefuseIfNotRun();
}

void IngressConnection::EndNow() {
  if (std::shared_ptr<PendingRequest> run = run_)
    run->EndNow();
  else if (state_ == State::kReading && parser_)
    Reject(ErrorKind::kShuttingDown, kStoppingReason);
}

void IngressConnection::CheckTimeouts(TimePoint now) {
  const IngressLimits& limits = host_.limits();
  if (state_ == State::kWriting && !lingering_ &&
      now - last_progress_ > limits.idle_timeout) {
    Close();
    return;
  }
  if (state_ != State::kReading)
    return;
  if (!parser_) {
    if (now - last_progress_ > limits.idle_timeout)
      Close();
    return;
  }
  bool late = parser_->is_header_done()
                  ? now - last_progress_ > limits.header_timeout
                  : now - request_started_ > limits.header_timeout;
  if (late)
    Reject(ErrorKind::kRequestTimeout, "the request is incomplete");
}

}  // namespace jujubecove

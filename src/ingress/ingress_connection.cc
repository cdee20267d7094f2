#include "ingress/ingress_connection.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "http/parser_input.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of pipelined requests that are buffered while one runs.
constexpr std::size_t kMaxPipelinedBytes = 8192;
// Room for the parts that a parser takes as a whole: the header, the head of a
// chunk with its extensions, and the trailers.
constexpr std::size_t kUnparsedReserve = 4096;
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

std::size_t BytesOf(const ForwardedRequest& request) {
  std::size_t bytes = request.target.size();
  for (const HeaderField& it : request.headers)
    bytes += it.name.size() + it.value.size();
  return bytes + (request.body ? request.body->size() : 0);
}

}  // namespace

IngressConnection::IngressConnection(
    boost::asio::ip::tcp::socket socket,
    TimerService& timers,
    IngressHost& host,
    const CallerProtocol& protocol,
    CallerMemory* memory,
    std::function<void(IngressConnection*)> closed)
    : socket_(std::move(socket)),
      timers_(timers),
      host_(host),
      protocol_(protocol),
      memory_(memory),
      closed_(std::move(closed)),
      accepted_(timers.Now()),
      last_progress_(accepted_) {}

IngressConnection::~IngressConnection() {
  if (memory_ != nullptr)
    memory_->Remove(*this);
}

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
  // A pending handler may keep the closed connection for longer.
  if (memory_ != nullptr)
    memory_->Remove(*this);
  memory_ = nullptr;
  parser_.reset();
  error_code ignored;
  socket_.close(ignored);
  closed_(this);
}

bool IngressConnection::IsReading() const {
  switch (state_) {
    case State::kReading:
      return true;
    case State::kRunning:
      return buffer_.size() < kMaxPipelinedBytes;
    case State::kWriting:
      return lingering_;
    case State::kClosed:
      break;
  }
  return false;
}

void IngressConnection::AwaitReadable() {
  if (awaiting_readable_ || !IsReading())
    return;
  awaiting_readable_ = true;
  std::shared_ptr<IngressConnection> self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self](const error_code&) {
                       self->awaiting_readable_ = false;
                       if (self->IsReading())
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
  UpdateMemory();
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
  running_bytes_ = BytesOf(request.value());
  UpdateMemory();
  // The request may have been refused to make room.
  if (state_ != State::kReading)
    return;
  state_ = State::kRunning;
  UpdateMemory();
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

void IngressConnection::CheckTimeouts(TimePoint now) {
  const IngressLimits& limits = host_.limits();
  if (state_ == State::kRunning && !awaiting_readable_ && HasPeerClosed()) {
    Close();
    return;
  }
  UpdateMemory();
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

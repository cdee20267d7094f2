#include "api/request_reader.h"

#include <boost/beast/http/error.hpp>
#include <utility>

namespace jujubecove {
namespace {

namespace http = boost::beast::http;

// Room for a chunk header with its extensions.
constexpr std::size_t kChunkHeaderBytes = 16 * 1024;

ErrorKind ErrorKindOf(const boost::system::error_code& ec) {
  if (ec == http::error::header_limit)
    return ErrorKind::kHeaderTooLarge;
  if (ec == http::error::body_limit)
    return ErrorKind::kPayloadTooLarge;
  return ErrorKind::kBadRequest;
}

// RFC 9112 asks servers to ignore empty lines before a request line.
void SkipEmptyLines(boost::beast::flat_buffer& buf) {
  const char* data = static_cast<const char*>(buf.data().data());
  std::size_t skipped = 0;
  while (skipped < buf.size() &&
         (data[skipped] == '\r' || data[skipped] == '\n'))
    ++skipped;
  buf.consume(skipped);
}

// Beast 1.81 asserts that at least 5 bytes are available when it parses a last
// chunk for the second time, so the process aborts when the "0\r\n\r\n" of an
// empty body arrives in pieces. No message ends with fewer bytes.
bool IsShortLastChunk(const boost::beast::flat_buffer& buf) {
  constexpr std::size_t kLastChunkBytes = 5;
  return buf.size() > 0 && buf.size() < kLastChunkBytes &&
         *static_cast<const char*>(buf.data().data()) == '0';
}

}  // namespace

RequestReader::RequestReader(const ApiLimits& limits) : limits_(limits) {
  Reset();
}

void RequestReader::Reset() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(limits_.header_bytes);
  // Checked after the header, so that a rejection can tell from the header
  // whether the request carries an idempotency key.
  parser_->body_limit(boost::none);
  state_ = State::kEmpty;
  header_done_ = false;
  request_ = CallerRequest();
  allowed_methods_.clear();
}

std::size_t RequestReader::BufferBytes() const {
  return limits_.header_bytes + kChunkHeaderBytes;
}

RequestReader::State RequestReader::Read(boost::beast::flat_buffer& buf) {
  if (state_ == State::kEmpty) {
    SkipEmptyLines(buf);
    if (buf.size() == 0)
      return state_;
    state_ = State::kHeader;
  }
  while (state_ == State::kHeader || state_ == State::kBody) {
    if (header_done_ && parser_->chunked() && IsShortLastChunk(buf))
      return state_;
    boost::system::error_code ec;
    std::size_t consumed = parser_->put(buf.data(), ec);
    buf.consume(consumed);
    if (ec == http::error::need_more) {
      // With a full buffer the parser can make no more progress.
      if (buf.size() >= BufferBytes())
        Fail(ErrorKind::kBadRequest, "a chunk header is too long");
      return state_;
    }
    if (ec) {
      Fail(ErrorKindOf(ec), ec.message());
      return state_;
    }
    if (!header_done_ && parser_->is_header_done())
      OnHeader();
    else if (parser_->is_done())
      state_ = State::kComplete;
    else if (buf.size() == 0)
      return state_;
  }
  return state_;
}

void RequestReader::OnHeader() {
  header_done_ = true;
  Result<CallerRequest> request = ParseCallerRequest(parser_->get().base());
  if (!request) {
    if (request.error().kind == ErrorKind::kMethodNotAllowed)
      allowed_methods_ = AllowedMethods(std::string(parser_->get().target()));
    Fail(request.error().kind, request.error().detail);
    return;
  }
  request_ = std::move(request).value();
  if (parser_->content_length().value_or(0) > limits_.body_bytes) {
    Fail(ErrorKind::kPayloadTooLarge, "the body is longer than " +
                                          std::to_string(limits_.body_bytes) +
                                          " bytes");
    return;
  }
  parser_->body_limit(limits_.body_bytes);
  state_ = parser_->is_done() ? State::kComplete : State::kBody;
}

void RequestReader::Fail(ErrorKind kind, std::string detail) {
  state_ = State::kFailed;
  error_ = Error{kind, std::move(detail)};
}

bool RequestReader::expects_continue() const {
  return http_version() > 10 && parser_->get().count(http::field::expect) > 0;
}

bool RequestReader::is_keep_alive() const {
  return parser_->keep_alive();
}

unsigned RequestReader::http_version() const {
  return header_done_ ? parser_->get().version() : 11;
}

std::string RequestReader::TakeBody() {
  return std::move(parser_->get().body());
}

TicketPresence RequestReader::ticket_presence() const {
  if (!header_done_)
    return TicketPresence::kHeaderNotRead;
  return parser_->get().count(kIdempotencyHeader) > 0
             ? TicketPresence::kHasTicket
             : TicketPresence::kNoTicket;
}

}  // namespace jujubecove

#include <poll.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "ingress/ingress_connection.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Time for the caller to close after the last answer of a connection.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// Wait before a request that was refused for memory is sent again.
constexpr Duration kRefusalWait = std::chrono::seconds(1);
constexpr char kNoMemory[] =
    "requests and answers of all callers take too "
    "much memory";

}  // namespace

void IngressConnection::Reject(ErrorKind kind, const std::string& reason) {
  host_.OnRequestRejected(kind, reason);
  parser_.reset();
  buffer_ = boost::beast::flat_buffer();
  CallerAnswer answer;
  answer.error = kind;
  answer.reason = reason;
  if (kind == ErrorKind::kOverloaded)
    answer.retry_after = kRefusalWait;
  Answer(std::move(answer), false);
}

void IngressConnection::Answer(CallerAnswer answer, bool keep_alive) {
  run_ = nullptr;
  running_bytes_ = 0;
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
  UpdateMemory();
}

void IngressConnection::OnWritten(const error_code& ec, bool keep_alive) {
  last_progress_ = timers_.Now();
  head_out_ = std::string();
  body_out_ = std::string();
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
  if (buffer_.size() == 0 && buffer_.capacity() > kReadBytes)
    buffer_ = boost::beast::flat_buffer();
  UpdateMemory();
  AwaitReadable();
}

// Closing a socket with unread bytes resets the connection, and the caller
// could lose the answer. So the caller gets time to close first.
void IngressConnection::Linger() {
  lingering_ = true;
  buffer_ = boost::beast::flat_buffer();
  UpdateMemory();
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

std::size_t IngressConnection::RequestBytes() const {
  if (!parser_)
    return running_bytes_;
  const std::string& body = parser_->get().body();
  // The whole of a stated length is allocated, but not yet in memory.
  return parser_->chunked() ? body.capacity() : body.size();
}

void IngressConnection::UpdateMemory() {
  if (memory_ == nullptr || state_ == State::kClosed)
    return;
  std::size_t bytes = buffer_.capacity() + RequestBytes() +
                      head_out_.capacity() + body_out_.capacity();
  CallerMemory::Use use = CallerMemory::Use::kRequest;
  if (state_ == State::kRunning)
    use = CallerMemory::Use::kRunning;
  else if (state_ == State::kWriting)
    use = CallerMemory::Use::kAnswer;
  // The connection may be released while its memory is given up.
  std::shared_ptr<IngressConnection> self = shared_from_this();
  memory_->Update(*this, bytes, use, last_progress_);
}

void IngressConnection::OnReclaimed() {
  if (state_ == State::kReading) {
    Reject(ErrorKind::kOverloaded, kNoMemory);
    return;
  }
  host_.OnConnectionDropped(kNoMemory);
  Close();
}

// Bytes that are not read hide the end of the caller's stream.
bool IngressConnection::HasPeerClosed() {
  pollfd poll_state{socket_.native_handle(), POLLRDHUP, 0};
  return poll(&poll_state, 1, 0) == 1 &&
         (poll_state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace jujubecove

#include "api/caller_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "api/error_body.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16 * 1024;
// The connection is closed if the caller sends more than this after its last
// answer.
constexpr std::size_t kMaxLingeredBytes = 2 * 1024 * 1024;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kJson[] = "application/json";
constexpr int kFirstServerError = 500;

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   std::uint64_t id,
                                   ListenerRole role,
                                   ConnectionHost& host)
    : socket_(std::move(socket)),
      id_(id),
      role_(role),
      host_(host),
      reader_(host.limits()) {
  error_code ec;
  socket_.non_blocking(true, ec);
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
}

void CallerConnection::Start() {
  SetTimer(host_.limits().first_byte_timeout);
  AwaitReadable();
}

void CallerConnection::Reject(ErrorKind kind, const std::string& detail) {
  Fail(kind, detail);
}

void CallerConnection::AwaitReadable() {
  if (awaiting_readable_ || state_ == State::kClosed)
    return;
  awaiting_readable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& ec) {
                       self->awaiting_readable_ = false;
                       if (self->state_ == State::kClosed)
                         return;
                       if (ec)
                         self->OnEndOfStream();
                       else
                         self->OnReadable();
                     });
}

void CallerConnection::OnReadable() {
  // While a request is in flight, later ones are read until the buffer is full.
  std::size_t space = reader_.BufferBytes() - buf_.size();
  if (space == 0)
    return;
  error_code ec;
  std::size_t n =
      socket_.read_some(buf_.prepare(std::min(space, kReadBytes)), ec);
  buf_.commit(n);
  if (ec == asio::error::would_block) {
    AwaitReadable();
    return;
  }
  if (ec) {
    OnEndOfStream();
    return;
  }
  if (state_ == State::kReading) {
    ParseBuffered();
    return;
  }
  if (state_ == State::kLingering) {
    lingered_bytes_ += n;
    buf_.clear();
    if (lingered_bytes_ > kMaxLingeredBytes) {
      Close();
      return;
    }
  }
  AwaitReadable();
}

// A caller that shuts down only its sending side counts as disconnected: the
// two can't be told apart before an answer is written.
void CallerConnection::OnEndOfStream() {
  if (state_ == State::kWriting) {
    caller_closed_ = true;
    return;
  }
  if (state_ == State::kWaiting)
    Abandon();
  Close();
}

void CallerConnection::ParseBuffered() {
  OnReadState(reader_.Read(buf_));
}

void CallerConnection::OnReadState(RequestReader::State reader_state) {
  bool new_phase = timed_state_ != reader_state;
  timed_state_ = reader_state;
  switch (reader_state) {
    case RequestReader::State::kEmpty:
      break;
    case RequestReader::State::kHeader:
      if (new_phase)
        SetTimer(host_.limits().header_timeout);
      break;
    case RequestReader::State::kBody:
      if (new_phase) {
        SetTimer(host_.limits().body_timeout);
        SendContinue();
      }
      break;
    case RequestReader::State::kComplete:
      Dispatch();
      return;
    case RequestReader::State::kFailed:
      Fail(reader_.error().kind, reader_.error().detail);
      return;
  }
  AwaitReadable();
}

// Nothing else is being written at this point, so the few bytes fit into the
// socket's send buffer. If they don't, the connection is broken and is closed.
void CallerConnection::SendContinue() {
  if (!reader_.expects_continue() || buf_.size() > 0)
    return;
  error_code ec;
  constexpr std::size_t kSize = sizeof kContinue - 1;
  std::size_t n = socket_.write_some(asio::buffer(kContinue, kSize), ec);
  if (ec || n < kSize)
    Close();
}

void CallerConnection::Dispatch() {
  host_.timers().Cancel(timer_);
  ++request_count_;
  dispatched_ = true;
  dispatched_at_ = host_.timers().Now();
  CallerRequest request = reader_.request();
  host_.OnRequest(request.endpoint);
  bool local = request.endpoint != Endpoint::kQuery &&
               request.endpoint != Endpoint::kTickets;
  if (local) {
    LocalAnswer local_answer = host_.AnswerLocally(request.endpoint);
    Write(std::move(local_answer.answer), local_answer.content_type, false);
    return;
  }
  if (role_ == ListenerRole::kOperations) {
    Fail(ErrorKind::kNotFound, "the operations address takes no requests");
    return;
  }
  bool has_ticket = reader_.ticket_presence() == TicketPresence::kHasTicket;
  Result<RequestId> sent = SendToQueryThread(std::move(request));
  if (!sent) {
    RejectOverloaded(has_ticket, sent.error());
    return;
  }
  in_flight_id_ = sent.value();
  state_ = State::kWaiting;
  AwaitReadable();
}

Result<RequestId> CallerConnection::SendToQueryThread(CallerRequest request) {
  ConnectionGeneration generation((id_ << 32U) + request_count_);
  QueryServiceProxy::AnswerHandler handler = [self = shared_from_this()](
                                                 ConnectionGeneration answered,
                                                 RenderedAnswer answer) {
    self->OnAnswer(answered, std::move(answer));
  };
  if (request.endpoint == Endpoint::kTickets)
    return host_.query_proxy().IssueTickets(request.ticket_count, generation,
                                            std::move(handler));
  QueryRequest& query = request.query;
  query.body = reader_.TakeBody();
  if (query.caller.value().empty()) {
    error_code ec;
    query.caller =
        CallerName(socket_.remote_endpoint(ec).address().to_string());
  }
  span_ = host_.tracer().Start("POST /v1/query", SpanKind::kServer,
                               query.traceparent, dispatched_at_);
  span_->attributes.emplace_back("jujubecove.kind", query.kind.value());
  query.traceparent = span_->context.ToTraceparent();
  return host_.query_proxy().Submit(std::move(query), generation,
                                    std::move(handler));
}

void CallerConnection::OnAnswer(ConnectionGeneration generation,
                                RenderedAnswer answer) {
  if (state_ != State::kWaiting ||
      generation != ConnectionGeneration((id_ << 32U) + request_count_))
    return;
  Write(std::move(answer), kJson, false);
}

void CallerConnection::RejectOverloaded(bool has_ticket, const Error& error) {
  ErrorKind kind = has_ticket ? ErrorKind::kOutcomeUnknown : error.kind;
  host_.OnError(kind);
  Write(RenderError(kind, AnswerOf(kind).execution, error.detail), kJson,
        false);
}

void CallerConnection::Fail(ErrorKind kind, const std::string& detail) {
  host_.OnError(kind);
  Execution execution = ExecutionOfRejection(kind, reader_.ticket_presence());
  Write(RenderError(kind, execution, detail), kJson, true);
}

void CallerConnection::Write(RenderedAnswer answer,
                             const char* content_type,
                             bool close) {
  if (state_ == State::kClosed)
    return;
  FinishSpan(answer.http_status);
  if (dispatched_)
    host_.OnAnswered(answer.http_status, host_.timers().Now() - dispatched_at_);
  state_ = State::kWriting;
  close = close || host_.draining() || !reader_.is_keep_alive();
  response_ = Response();
  response_.result(static_cast<unsigned>(answer.http_status));
  response_.version(reader_.http_version());
  response_.set(http::field::content_type, content_type);
  if (!reader_.allowed_methods().empty())
    response_.set(http::field::allow, reader_.allowed_methods());
  response_.keep_alive(!close);
  response_.body() = std::move(answer.body);
  response_.prepare_payload();
  SetTimer(host_.limits().write_timeout);
  http::async_write(
      socket_, response_,
      [self = shared_from_this(), close](const error_code& ec, std::size_t) {
        if (ec)
          self->Close();
        else
          self->OnWritten(close);
      });
}

void CallerConnection::FinishSpan(int http_status) {
  if (!span_)
    return;
  span_->attributes.emplace_back("http.response.status_code",
                                 std::to_string(http_status));
  if (http_status >= kFirstServerError)
    span_->error = "HTTP status " + std::to_string(http_status);
  host_.tracer().Finish(std::move(*span_), host_.timers().Now());
  span_.reset();
}

void CallerConnection::OnWritten(bool close) {
  if (state_ == State::kClosed)
    return;
  response_ = Response();
  if (caller_closed_)
    Close();
  else if (close)
    Linger();
  else
    AwaitNextRequest();
}

void CallerConnection::AwaitNextRequest() {
  reader_.Reset();
  dispatched_ = false;
  state_ = State::kReading;
  timed_state_ = RequestReader::State::kEmpty;
  SetTimer(host_.stopping() ? host_.limits().linger_timeout
                            : host_.limits().idle_timeout);
  ParseBuffered();
}

// Closing a socket with unread bytes resets the connection, and the caller
// could lose the answer. So the caller gets time to close first.
void CallerConnection::Linger() {
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  state_ = State::kLingering;
  buf_.clear();
  SetTimer(host_.limits().linger_timeout);
  AwaitReadable();
}

// A request that the caller has already sent on an idle connection is still
// served.
void CallerConnection::Drain() {
  if (state_ == State::kReading &&
      reader_.state() == RequestReader::State::kEmpty)
    SetTimer(host_.limits().linger_timeout);
}

void CallerConnection::CloseIdle() {
  error_code ec;
  std::size_t n = socket_.read_some(buf_.prepare(kReadBytes), ec);
  buf_.commit(n);
  if (!ec)
    ParseBuffered();
  else if (ec == asio::error::would_block)
    Linger();
  else
    Close();
}

bool CallerConnection::ForceClose() {
  bool idle = state_ == State::kClosed || state_ == State::kLingering ||
              (state_ == State::kReading &&
               reader_.state() == RequestReader::State::kEmpty);
  if (state_ == State::kWaiting)
    Abandon();
  Close();
  return !idle;
}

void CallerConnection::SetTimer(Duration delay) {
  host_.timers().Cancel(timer_);
  timer_ = host_.timers().ScheduleAfter(
      delay, [self = shared_from_this()] { self->OnTimer(); });
}

void CallerConnection::OnTimer() {
  if (state_ == State::kReading &&
      reader_.state() == RequestReader::State::kHeader)
    Fail(ErrorKind::kRequestTimeout, "the header did not arrive in time");
  else if (state_ == State::kReading &&
           reader_.state() == RequestReader::State::kBody)
    Fail(ErrorKind::kRequestTimeout, "the body did not arrive in time");
  else if (state_ == State::kReading)
    CloseIdle();
  else if (state_ != State::kWaiting)
    Close();
}

void CallerConnection::Abandon() {
  host_.OnAbandoned();
  host_.query_proxy().Abandon(in_flight_id_);
  if (span_) {
    span_->error = "the caller closed the connection";
    host_.tracer().Finish(std::move(*span_), host_.timers().Now());
    span_.reset();
  }
}

void CallerConnection::Close() {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  host_.timers().Cancel(timer_);
  error_code ec;
  socket_.close(ec);
  host_.OnClosed(*this);
}

}  // namespace jujubecove

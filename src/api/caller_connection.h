#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "api/connection_host.h"
#include "api/request_reader.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Which requests a listener accepts.
enum class ListenerRole : std::uint8_t {
  kCallers,
  // Everything except queries and tickets.
  kOperations,
};

// One connection of a caller. It handles one request at a time, so pipelined
// requests are answered in order; the bytes of later ones stay in a bounded
// buffer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // `id` is never reused.
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::uint64_t id,
                   ListenerRole role,
                   ConnectionHost& host);

  void Start();
  // Answers with an error without reading a request, and closes the connection.
  void Reject(ErrorKind kind, const std::string& detail);
  // Closes an idle connection after the linger timeout. If a request is in
  // progress or arrives before that, the connection closes after its answer.
  void Drain();
  // Closes the connection now. Returns true if a request was aborted.
  bool ForceClose();

  std::uint64_t id() const { return id_; }

 private:
  enum class State : std::uint8_t {
    // Waiting for a request or reading one.
    kReading,
    // The request is in flight on the query thread.
    kWaiting,
    kWriting,
    // The last answer has been written; waiting for the caller to close.
    kLingering,
    kClosed,
  };
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void AwaitReadable();
  void OnReadable();
  void ParseBuffered();
  void OnReadState(RequestReader::State reader_state);
  void SendContinue();
  void Dispatch();
  Result<RequestId> SendToQueryThread(CallerRequest request);
  void OnAnswer(ConnectionGeneration generation, RenderedAnswer answer);
  void RejectOverloaded(bool has_ticket, const Error& error);
  void Fail(ErrorKind kind, const std::string& detail);
  void Write(RenderedAnswer answer, const char* content_type, bool close);
  void OnWritten(bool close);
  void AwaitNextRequest();
  void CloseIdle();
  void OnEndOfStream();
  void FinishSpan(int http_status);
  void Linger();
  void SetTimer(Duration delay);
  void OnTimer();
  void Abandon();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  std::uint64_t id_;
  ListenerRole role_;
  ConnectionHost& host_;
  State state_ = State::kReading;
  boost::beast::flat_buffer buf_;
  RequestReader reader_;
  // Reader state for which the timer was set, to detect a new phase.
  RequestReader::State timed_state_ = RequestReader::State::kEmpty;
  TimerId timer_;
  // Whether a wait for readability is pending.
  bool awaiting_readable_ = false;
  std::uint64_t request_count_ = 0;
  RequestId in_flight_id_;
  std::optional<Span> span_;
  // Whether the current request was read completely, at `dispatched_at_`.
  bool dispatched_ = false;
  TimePoint dispatched_at_;
  // The caller closed its sending side while an answer was being written.
  bool caller_closed_ = false;
  std::size_t lingered_bytes_ = 0;
  Response response_;
};

}  // namespace jujubecove

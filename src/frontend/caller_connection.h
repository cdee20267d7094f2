#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/ids.h"
#include "frontend/connection_host.h"
#include "frontend/request_reader.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Which requests a listener accepts.
enum class ListenerRole : std::uint8_t {
  kCallers,
  // Everything except queries and tickets.
  kOperations,
};

// One connection of a caller. It works on one request at a time, so pipelined
// requests are answered in order; bytes of the following ones wait in a bounded
// buffer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // `id` is never reused.
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::uint64_t id,
                   ListenerRole role,
                   ConnectionHost& host);

  void Start();
  // Answers with an error without reading anything, and closes.
  void Refuse(ErrorKind kind, const std::string& detail);
  // Closes the connection after the linger time unless a request arrives until
  // then or is in progress, in which case its answer closes it.
  void Drain();
  // Closes the connection now. True when a request was cut off.
  bool CutOff();

  std::uint64_t id() const { return id_; }

 private:
  enum class State : std::uint8_t {
    // Waits for, or reads, a request.
    kReading,
    // The query thread has the request.
    kWaiting,
    kWriting,
    // The last answer was written; waits for the caller to close.
    kLingering,
    kClosed,
  };
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void WatchForBytes();
  void OnReadable();
  void Advance();
  void OnReadState(RequestReader::State reader_state);
  void SendContinue();
  void Dispatch();
  Result<RequestId> SendToQueryThread(CallerRequest request);
  void OnAnswer(ConnectionGeneration generation, RenderedAnswer answer);
  void RefuseForLoad(bool has_ticket, const Error& error);
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
  // The state that the timer was armed for, to see when a phase ends.
  RequestReader::State timed_state_ = RequestReader::State::kEmpty;
  TimerId timer_;
  // Whether a wait for readable bytes is outstanding.
  bool watching_ = false;
  std::uint64_t requests_ = 0;
  RequestId in_flight_;
  std::optional<Span> span_;
  // Whether the current request was read whole, at `started_`.
  bool dispatched_ = false;
  TimePoint started_;
  // The caller has closed its side while an answer was being written.
  bool ended_ = false;
  std::size_t lingered_bytes_ = 0;
  Response response_;
};

}  // namespace jujubecove

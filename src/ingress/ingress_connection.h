#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ingress/caller_memory.h"
#include "ingress/ingress_host.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// One caller's connection. Pipelined requests are answered in order: the next
// one is parsed after the previous answer has been written. Reading continues
// while a request runs, to detect a client disconnect at once, and stops while
// an answer is written or when enough is buffered. A caller that shuts down
// only its sending side counts as disconnected while its request runs; it gets
// the answers that are ready at once.
//
// Counts what it buffers towards the memory for all callers, if that is given,
// and gives it up when told: refuses the incomplete request, or closes without
// the rest of an unread answer.
//
// The buffer is filled and parsed on the event thread only: what is pending
// between events is a wait for bytes, never a read into the buffer. Bytes can
// therefore be consumed at any time.
class IngressConnection
    : public std::enable_shared_from_this<IngressConnection>,
      private CallerMemory::Holder {
 public:
  IngressConnection(boost::asio::ip::tcp::socket socket,
                    TimerService& timers,
                    IngressHost& host,
                    const CallerProtocol& protocol,
                    CallerMemory* memory,
                    std::function<void(IngressConnection*)> closed);
  ~IngressConnection() override;
  IngressConnection(const IngressConnection&) = delete;
  IngressConnection& operator=(const IngressConnection&) = delete;

  void Start();
  void Close();
  // Whether the connection waits for a request and no part of one has arrived.
  bool IsIdle() const {
    return state_ == State::kReading && !parser_ && buffer_.size() == 0 &&
           !HasUnreadBytes();
  }
  // Whether the connection waits for the caller to send or to close.
  bool IsWaitingForCaller() const {
    return state_ == State::kReading || lingering_;
  }
  // Whether an answer is being written.
  bool IsWriting() const { return state_ == State::kWriting; }
  TimePoint idle_since() const { return last_progress_; }
  // Closes the connection, or rejects its partial request, on a timeout.
  void CheckTimeouts(TimePoint now);
  // Refuses the request in progress unless it may have run.
  void RefuseIfNotRun();
  // Answers the request in progress and refuses one that is incomplete, because
  // the process is about to exit.
  void EndNow();

 private:
  enum class State : std::uint8_t { kReading, kRunning, kWriting, kClosed };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void OnReclaimed() override;
  // Reports the memory that this connection takes. It may be given up then.
  void UpdateMemory();
  // Bytes of the request that is being read or runs.
  std::size_t RequestBytes() const;
  // Whether bytes that arrive are read now.
  bool IsReading() const;
  bool HasPeerClosed();
  void AwaitReadable();
  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  // Whether bytes have arrived that were not read yet.
  bool HasUnreadBytes() const;
  void ParseBuffered();
  // Parses buffered bytes. Returns false if more bytes are needed or the
  // request was rejected.
  bool ParseStep();
  void StartParser();
  bool CheckHeader();
  void OnParseError(const boost::system::error_code& ec);
  void OnRequest();
  void Reject(ErrorKind kind, const std::string& reason);
  void Answer(CallerAnswer answer, bool keep_alive);
  void Write(IngressAnswer answer, bool keep_alive);
  void OnWritten(const boost::system::error_code& ec, bool keep_alive);
  void Linger();

  // Most requests have no body.
  static constexpr std::size_t kReadBytes = 4096;

  boost::asio::ip::tcp::socket socket_;
  TimerService& timers_;
  IngressHost& host_;
  const CallerProtocol& protocol_;
  CallerMemory* memory_;
  std::function<void(IngressConnection*)> closed_;
  State state_ = State::kReading;
  bool awaiting_readable_ = false;
  // The last answer has been written; waits for the caller to close.
  bool lingering_ = false;
  bool continue_sent_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  TimePoint request_started_{};
  TimePoint accepted_{};
  bool first_request_ = true;
  TimePoint last_progress_{};
  std::string request_id_;
  bool head_only_ = false;
  std::shared_ptr<PendingRequest> run_;
  // Size of the request that runs.
  std::size_t running_bytes_ = 0;
  std::string head_out_;
  std::string body_out_;
};

}  // namespace jujubecove

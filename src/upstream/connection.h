#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/units.h"
#include "kernel/timer_service.h"
#include "upstream/latency_peak.h"
#include "upstream/reply_reader.h"
#include "upstream/upstream_stats.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Why a connection was closed, if not by its owner.
enum class LossCause : std::uint8_t {
  // The searcher closed or reset it before any byte of a reply.
  kClosed,
  // The reply was truncated, malformed or oversized, or more bytes followed it.
  kBadReply,
  // Bytes arrived while no request was outstanding.
  kUnsolicited,
};

// What a connection is used for at the moment. Set by the owner.
enum class ConnectionActivity : std::uint8_t {
  kConnecting,
  kIdle,
  kAttempt,
  // The attempt is written once the ping is answered.
  kPingBeforeAttempt,
  kPing,
  kControl,
  // The request was cancelled or timed out; a late reply is read and discarded.
  kLateReply,
};

// Called with the reply to a control request, or null if the request failed.
using ControlHandler = std::function<void(ParsedReply* reply)>;

// One TCP connection to a searcher that carries one HTTP request at a time. A
// read is always outstanding, so that a close or unsolicited bytes are detected
// while the connection is idle.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected(Connection& connection) = 0;
    virtual void OnConnectFailed(Connection& connection) = 0;
    // Called with the complete reply to the outstanding request. The connection
    // can be used for the next request unless the owner closes it.
    virtual void OnReply(Connection& connection, ParsedReply& reply) = 0;
    // Called after the connection was closed.
    virtual void OnLost(Connection& connection, LossCause cause) = 0;
  };

  Connection(boost::asio::io_context& context,
             const TimerService& timer,
             UpstreamStats& stats,
             Owner& owner);

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Writes a request and expects its reply. Returns false if no byte could be
  // written; the connection must not be used again then.
  bool Write(std::string_view head,
             const std::shared_ptr<const std::string>& body);
  // The owner is not called afterwards.
  void Close();

  bool closed() const { return closed_; }
  bool write_pending() const { return !unwritten_.empty(); }
  // Whether the socket has received bytes that were not read yet, for example
  // after the process was paused.
  bool HasUnreadBytes() const;
  bool reply_started() const { return reader_.started(); }

  // State kept by the owner.
  ConnectionActivity activity = ConnectionActivity::kConnecting;
  UpstreamRequest request;
  std::string expected_attempt;
  ControlHandler control;
  // When the current activity started.
  TimePoint started{};
  // When the current activity, other than an attempt, times out.
  TimePoint expires_at{};
  LatencyPeak* kind_latency = nullptr;
  // Silence timeouts of the attempt, see docs/design/upstream-connections.md.
  Duration short_silence_timeout{};
  Duration silence_timeout{};
  // Time since the start of the attempt in which this thread was stalled.
  Duration thread_stall{};

  // When the last byte arrived, or when the connection was established.
  TimePoint last_byte{};
  TimePoint established{};
  // Whether any byte has ever been received.
  bool has_received = false;

 private:
  void OnConnect(const boost::system::error_code& ec);
  void StartRead();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  // Returns false if the bytes are not a valid reply, or more bytes follow it.
  bool ParseBytes();
  void WriteRemaining();
  void CloseAndNotify(LossCause cause);

  // At least the length of the longest accepted header.
  static constexpr std::size_t kBufferBytes = 16'384;

  boost::asio::ip::tcp::socket socket_;
  const TimerService& timer_;
  UpstreamStats& stats_;
  Owner& owner_;
  ReplyReader reader_;
  std::unique_ptr<char[]> buffer_;
  // Bytes at the start of the buffer that the reader has not consumed yet.
  std::size_t unparsed_ = 0;
  std::string unwritten_;
  bool reply_pending_ = false;
  bool closed_ = false;
};

}  // namespace jujubecove

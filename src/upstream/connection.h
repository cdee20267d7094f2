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

// Why a connection ended without being closed by its owner.
enum class LossCause : std::uint8_t {
  // The peer closed or reset it before any byte of a reply.
  kClosed,
  // Truncated, malformed or oversized reply, or bytes after the reply.
  kBadReply,
  // Bytes while no request was outstanding.
  kUnsolicited,
};

// What a connection is occupied with. The owner sets it.
enum class ConnectionActivity : std::uint8_t {
  kConnecting,
  kIdle,
  kAttempt,
  // A ping that decides whether the attempt may be written.
  kPingBeforeAttempt,
  kPing,
  kControl,
  // The owner has given up on the outstanding reply; it is read and dropped.
  kLateReply,
};

// Result of a control request; absent when it failed.
using ControlHandler = std::function<void(ParsedReply* reply)>;

// One TCP connection to a searcher that carries one HTTP request at a time. A
// read is always outstanding, so that a close or an unsolicited byte is noticed
// while the connection is idle.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected(Connection& connection) = 0;
    virtual void OnConnectFailed(Connection& connection) = 0;
    // The whole reply to the outstanding request. The connection can carry
    // the next request unless the owner closes it.
    virtual void OnReply(Connection& connection, ParsedReply& reply) = 0;
    // The connection is closed when this is called.
    virtual void OnLost(Connection& connection, LossCause cause) = 0;
  };

  Connection(boost::asio::io_context& context,
             const TimerService& timer,
             UpstreamStats& stats,
             Owner& owner);

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Writes a request and expects its reply. False when not one byte could be
  // written; the connection is of no use then.
  bool Write(std::string_view head,
             const std::shared_ptr<const std::string>& body);
  // No handler of the owner runs afterwards.
  void Close();

  bool closed() const { return closed_; }
  bool write_pending() const { return !unwritten_.empty(); }
  // Whether bytes have arrived that were not read yet, as after a pause of the
  // process.
  bool HasUnreadBytes() const;
  bool reply_started() const { return reader_.started(); }

  // State that belongs to the owner.
  ConnectionActivity activity = ConnectionActivity::kConnecting;
  UpstreamRequest request;
  std::string expected_attempt;
  ControlHandler control;
  // When the current job started.
  TimePoint started{};
  // When the current job is given up.
  TimePoint expires_at{};
  LatencyPeak* kind_latency = nullptr;
  // Silence bounds of the attempt, see docs/design/upstream-connections.md.
  Duration short_silence_timeout{};
  Duration silence_timeout{};
  // Time since the start of the attempt in which this thread did not run.
  Duration thread_stall{};

  // Time of the last byte received, or of the set-up when there was none.
  TimePoint last_byte{};
  TimePoint established{};
  // Whether any byte was ever received.
  bool has_received = false;

 private:
  void OnConnect(const boost::system::error_code& ec);
  void StartRead();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  // False when the bytes are not part of an expected reply.
  bool ParseBytes();
  void StartWriteUnwritten();
  void CloseAndNotify(LossCause cause);

  // Holds the longest header that is accepted.
  static constexpr std::size_t kBufferBytes = 16'384;

  boost::asio::ip::tcp::socket socket_;
  const TimerService& timer_;
  UpstreamStats& stats_;
  Owner& owner_;
  ReplyReader reader_;
  std::unique_ptr<char[]> buffer_;
  // Bytes at the start of the buffer that the reader has not consumed.
  std::size_t unparsed_ = 0;
  std::string unwritten_;
  bool reply_pending_ = false;
  bool closed_ = false;
};

}  // namespace jujubecove

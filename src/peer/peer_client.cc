#include "peer/peer_client.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

namespace jujubecove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Parses "ip:port"; an IPv6 address stands in brackets.
std::optional<asio::ip::tcp::endpoint> EndpointOf(const std::string& text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::string ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  error_code ec;
  asio::ip::address address = asio::ip::make_address(ip, ec);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
    return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

}  // namespace

class PeerClient::Connection
    : public std::enable_shared_from_this<PeerClient::Connection> {
 public:
  Connection(asio::io_context& context,
             TimerService& timers,
             std::size_t max_pending)
      : context_(context),
        timers_(timers),
        socket_(context),
        max_pending_(max_pending) {}

  void Connect(const std::string& address) {
    last_use_ = timers_.Now();
    std::optional<asio::ip::tcp::endpoint> endpoint = EndpointOf(address);
    if (!endpoint) {
      closed_ = true;
      return;
    }
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](error_code ec) {
                            ec ? self->Fail() : self->OnConnected();
                          });
  }

  void Send(PeerCall call, Duration timeout, ReplyHandler handler) {
    std::string frame;
    call.sequence = next_sequence_++;
    if (!closed_ && pending_.size() < max_pending_)
      frame = EncodeCall(call);
    if (frame.empty() ||
        frame.size() > kMaxPeerMessageBytes + kFrameHeaderBytes) {
      asio::post(context_, [handler = std::move(handler)] {
        handler(PeerStatus::kNotSent, PeerReply());
      });
      return;
    }
    last_use_ = timers_.Now();
    std::int32_t sequence = call.sequence;
    Pending& pending = pending_[sequence];
    pending.method = call.method;
    pending.handler = std::move(handler);
    std::weak_ptr<Connection> weak = weak_from_this();
    pending.timer = timers_.ScheduleAfter(timeout, [weak] {
      if (std::shared_ptr<Connection> self = weak.lock())
        self->Fail();
    });
    writes_.push_back(Write{sequence, std::move(frame)});
    if (connected_ && writes_.size() == 1)
      WriteNext();
  }

  // Ends the connection; every call under way gets its handler run.
  void Fail() {
    if (closed_)
      return;
    std::map<std::int32_t, Pending> pending = Close();
    for (auto& [sequence, call] : pending)
      call.handler(call.sent ? PeerStatus::kUnknown : PeerStatus::kNotSent,
                   PeerReply());
  }

  void Abandon() { Close(); }

  bool closed() const { return closed_; }
  bool IdleSince(TimePoint when) const {
    return pending_.empty() && last_use_ < when;
  }

 private:
  struct Pending {
    PeerMethod method{};
    bool sent = false;
    TimerId timer;
    ReplyHandler handler;
  };
  struct Write {
    std::int32_t sequence = 0;
    std::string frame;
  };

  std::map<std::int32_t, Pending> Close() {
    closed_ = true;
    error_code ec;
    socket_.close(ec);
    std::map<std::int32_t, Pending> pending = std::move(pending_);
    pending_.clear();
    for (auto& [sequence, call] : pending)
      timers_.Cancel(call.timer);
    return pending;
  }

  void OnConnected() {
    if (closed_)
      return;
    error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    connected_ = true;
    ReadHeader();
    if (!writes_.empty())
      WriteNext();
  }

  void WriteNext() {
    auto it = pending_.find(writes_.front().sequence);
    if (it != pending_.end())
      it->second.sent = true;
    asio::async_write(socket_, asio::buffer(writes_.front().frame),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        ec ? self->Fail() : self->OnWritten();
                      });
  }

  void OnWritten() {
    if (closed_)
      return;
    writes_.pop_front();
    if (!writes_.empty())
      WriteNext();
  }

  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       ec ? self->Fail() : self->ReadMessage();
                     });
  }

  void ReadMessage() {
    std::optional<std::size_t> size =
        ParseFrameHeader(std::string_view(header_.data(), header_.size()));
    if (!size) {
      Fail();
      return;
    }
    message_.resize(*size);
    asio::async_read(socket_, asio::buffer(message_),
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       ec ? self->Fail() : self->OnMessage();
                     });
  }

  void OnMessage() {
    if (closed_)
      return;
    std::optional<PeerReply> reply = DecodeReply(message_);
    auto it = reply ? pending_.find(reply->sequence) : pending_.end();
    if (it == pending_.end() || it->second.method != reply->method) {
      Fail();
      return;
    }
    ReplyHandler handler = std::move(it->second.handler);
    timers_.Cancel(it->second.timer);
    pending_.erase(it);
    handler(reply->ok ? PeerStatus::kDone : PeerStatus::kUnknown, *reply);
    if (!closed_)
      ReadHeader();
  }

  asio::io_context& context_;
  TimerService& timers_;
  asio::ip::tcp::socket socket_;
  std::size_t max_pending_;
  bool connected_ = false;
  bool closed_ = false;
  TimePoint last_use_;
  std::int32_t next_sequence_ = 1;
  std::map<std::int32_t, Pending> pending_;
  std::deque<Write> writes_;
  std::array<char, kFrameHeaderBytes> header_{};
  std::string message_;
};

PeerClient::PeerClient(asio::io_context& context,
                       TimerService& timers,
                       PeerClientOptions options)
    : context_(context), timers_(timers), options_(options) {
  ScheduleIdleCheck();
}

PeerClient::~PeerClient() {
  timers_.Cancel(idle_timer_);
  for (auto& [address, connection] : connections_)
    connection->Abandon();
}

void PeerClient::ScheduleIdleCheck() {
  idle_timer_ = timers_.ScheduleAfter(options_.idle_timeout, [this] {
    CloseIdle();
    ScheduleIdleCheck();
  });
}

void PeerClient::CloseIdle() {
  TimePoint limit = timers_.Now() - options_.idle_timeout;
  std::erase_if(connections_, [limit](const auto& entry) {
    if (!entry.second->closed() && !entry.second->IdleSince(limit))
      return false;
    entry.second->Abandon();
    return true;
  });
}

void PeerClient::Call(const std::string& address,
                      PeerCall call,
                      Duration timeout,
                      ReplyHandler handler) {
  std::shared_ptr<Connection>& connection = connections_[address];
  if (connection == nullptr || connection->closed()) {
    connection =
        std::make_shared<Connection>(context_, timers_, options_.max_pending);
    connection->Connect(address);
  }
  connection->Send(std::move(call), timeout, std::move(handler));
}

void PeerClient::Exchange(const std::string& address,
                          const wire::ExchangeMessage& message,
                          ExchangeHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kExchange;
  call.exchange = message;
  Call(address, std::move(call), options_.exchange_timeout,
       [handler = std::move(handler)](PeerStatus status, PeerReply reply) {
         handler({status, std::move(reply.exchange)});
       });
}

void PeerClient::FetchDelta(const std::string& address,
                            ConfigVersion from,
                            ConfigVersion to,
                            DocumentHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kFetchDelta;
  call.from_version = static_cast<std::int64_t>(from.value());
  call.to_version = static_cast<std::int64_t>(to.value());
  Call(address, std::move(call), options_.document_timeout,
       [handler = std::move(handler)](PeerStatus status, PeerReply reply) {
         handler({status, std::move(reply.document)});
       });
}

void PeerClient::FetchDocument(const std::string& address,
                               ConfigVersion version,
                               DocumentHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kFetchDocument;
  call.to_version = static_cast<std::int64_t>(version.value());
  Call(address, std::move(call), options_.document_timeout,
       [handler = std::move(handler)](PeerStatus status, PeerReply reply) {
         handler({status, std::move(reply.document)});
       });
}

void PeerClient::Execute(const std::string& address,
                         const wire::ForwardRequest& request,
                         Duration timeout,
                         ForwardHandler handler) {
  PeerCall call;
  call.method = PeerMethod::kExecute;
  call.forward = request;
  Call(address, std::move(call), timeout,
       [handler = std::move(handler)](PeerStatus status, PeerReply reply) {
         handler({status, std::move(reply.forward)});
       });
}

}  // namespace jujubecove

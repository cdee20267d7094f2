#include "peer/peer_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "peer/peer_codec.h"

namespace jujubecove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay(100);

}  // namespace

struct PeerServer::State {
  State(PeerServerOptions settings, PeerHandler& calls)
      : options(settings), handler(&calls) {}

  PeerServerOptions options;
  // Cleared when the server is destroyed.
  PeerHandler* handler;
  // The most recently used connection comes first.
  std::list<std::weak_ptr<Connection>> connections;
};

class PeerServer::Connection
    : public std::enable_shared_from_this<PeerServer::Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<State> state)
      : stream_(std::move(socket)), state_(std::move(state)) {}
  ~Connection() { Forget(); }

  void Start() {
    listed_ = true;
    position_ = state_->connections.insert(state_->connections.begin(),
                                           weak_from_this());
    error_code ec;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    ReadHeader();
  }

  void Close() {
    Forget();
    stream_.close();
  }

 private:
  void Forget() {
    if (!listed_)
      return;
    listed_ = false;
    state_->connections.erase(position_);
  }

  void ReadHeader() {
    reading_ = true;
    stream_.expires_after(state_->options.idle_timeout);
    asio::async_read(stream_, asio::buffer(header_),
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       ec ? self->Close() : self->ReadMessage();
                     });
  }

  void ReadMessage() {
    std::optional<std::size_t> size =
        ParseFrameHeader(std::string_view(header_.data(), header_.size()));
    if (!size) {
      Close();
      return;
    }
    message_.resize(*size);
    stream_.expires_after(state_->options.stall_timeout);
    asio::async_read(stream_, asio::buffer(message_),
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       ec ? self->Close() : self->OnMessage();
                     });
  }

  void OnMessage() {
    reading_ = false;
    std::optional<PeerCall> call = DecodeCall(message_);
    if (!call || state_->handler == nullptr) {
      Close();
      return;
    }
    if (listed_)
      state_->connections.splice(state_->connections.begin(),
                                 state_->connections, position_);
    ++calls_;
    Dispatch(*call);
    if (listed_ && calls_ < state_->options.max_calls)
      ReadHeader();
  }

  void Dispatch(const PeerCall& call) {
    PeerReply reply;
    reply.sequence = call.sequence;
    reply.method = call.method;
    reply.ok = true;
    switch (call.method) {
      case PeerMethod::kExchange:
        reply.exchange = state_->handler->OnExchange(call.exchange);
        break;
      case PeerMethod::kFetchDelta:
        reply.document = state_->handler->OnFetchDelta(
            Version(call.from_version), Version(call.to_version));
        break;
      case PeerMethod::kFetchDocument:
        reply.document =
            state_->handler->OnFetchDocument(Version(call.to_version));
        break;
      case PeerMethod::kExecute:
        state_->handler->OnExecute(call.forward,
                                   [self = shared_from_this(),
                                    reply](wire::ForwardReply forward) mutable {
                                     reply.forward = std::move(forward);
                                     self->Reply(reply);
                                   });
        return;
    }
    Reply(reply);
  }

  static ConfigVersion Version(std::int64_t number) {
    return ConfigVersion(static_cast<std::uint64_t>(number));
  }

  void Reply(const PeerReply& reply) {
    if (!listed_)
      return;
    std::string frame = EncodeReply(reply);
    // A reply that the client would refuse to read is replaced by an error.
    if (frame.size() > kMaxPeerMessageBytes + kFrameHeaderBytes) {
      PeerReply refusal;
      refusal.sequence = reply.sequence;
      refusal.method = reply.method;
      frame = EncodeReply(refusal);
    }
    writes_.push_back(std::move(frame));
    if (writes_.size() == 1)
      WriteNext();
  }

  void WriteNext() {
    stream_.expires_after(state_->options.stall_timeout);
    asio::async_write(stream_, asio::buffer(writes_.front()),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        ec ? self->Close() : self->OnWritten();
                      });
  }

  void OnWritten() {
    writes_.pop_front();
    --calls_;
    if (!writes_.empty())
      WriteNext();
    if (!reading_ && listed_)
      ReadHeader();
  }

  boost::beast::tcp_stream stream_;
  std::shared_ptr<State> state_;
  std::list<std::weak_ptr<Connection>>::iterator position_;
  bool listed_ = false;
  bool reading_ = false;
  std::size_t calls_ = 0;
  std::array<char, kFrameHeaderBytes> header_{};
  std::string message_;
  std::deque<std::string> writes_;
};

PeerServer::PeerServer(asio::io_context& context,
                       PeerServerOptions options,
                       PeerHandler& handler)
    : state_(std::make_shared<State>(options, handler)),
      acceptor_(context, options.endpoint),
      retry_timer_(context) {
  Accept();
}

PeerServer::~PeerServer() {
  state_->handler = nullptr;
  std::list<std::weak_ptr<Connection>> connections = state_->connections;
  for (const std::weak_ptr<Connection>& weak : connections) {
    if (std::shared_ptr<Connection> connection = weak.lock())
      connection->Close();
  }
}

std::uint16_t PeerServer::port() const {
  return acceptor_.local_endpoint().port();
}

std::size_t PeerServer::connection_count() const {
  return state_->connections.size();
}

void PeerServer::Accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (ec) {
      // Typically out of file descriptors, which repeating at once would only
      // turn into a busy loop.
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled)
          Accept();
      });
      return;
    }
    if (state_->connections.size() >= state_->options.max_connections) {
      if (std::shared_ptr<Connection> oldest =
              state_->connections.back().lock())
        oldest->Close();
    }
    std::make_shared<Connection>(std::move(socket), state_)->Start();
    Accept();
  });
}

}  // namespace jujubecove

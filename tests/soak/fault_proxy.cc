#include "tests/soak/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace jujubecove::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kChunkBytes = 16384;

tcp::endpoint Loopback(std::uint16_t port) {
  return tcp::endpoint(asio::ip::address_v4::loopback(), port);
}

}  // namespace

// A client's connection and the matching connection to the server.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& context,
             TimerService& timers,
             std::shared_ptr<Options> options,
             tcp::socket client)
      : timers_(timers),
        options_(std::move(options)),
        client_(std::move(client)),
        server_(context) {}

  void Start() {
    server_.async_connect(Loopback(options_->target),
                          [self = shared_from_this()](error_code ec) {
                            if (ec) {
                              self->Reset();
                              return;
                            }
                            self->Read(self->to_server_);
                            self->Read(self->to_client_);
                          });
  }

  void Silence() { silent_ = true; }

  void Reset() {
    error_code ec;
    client_.set_option(asio::socket_base::linger(true, 0), ec);
    server_.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  // Forwards the buffered bytes of directions that are no longer blocked.
  void Resume() {
    for (Direction* it : {&to_server_, &to_client_}) {
      if (it->pending && !IsBlocked(*it)) {
        it->pending = false;
        Write(*it);
      }
    }
  }

 private:
  struct Direction {
    tcp::socket& from;
    tcp::socket& to;
    std::array<char, kChunkBytes> buf{};
    std::size_t size = 0;
    bool pending = false;
  };

  bool IsBlocked(const Direction& direction) const {
    return &direction == &to_server_ ? options_->block_to_server
                                     : options_->block_to_client;
  }

  void Read(Direction& direction) {
    direction.from.async_read_some(
        asio::buffer(direction.buf),
        [self = shared_from_this(), &direction](error_code ec, std::size_t n) {
          if (ec)
            self->OnEnd(direction);
          else
            self->OnData(direction, n);
        });
  }

  // On a silent connection, the client must not notice that the server closed.
  void OnEnd(const Direction& direction) {
    if (!silent_ || &direction == &to_server_)
      Close();
  }

  void OnData(Direction& direction, std::size_t size) {
    if (silent_) {
      Read(direction);
      return;
    }
    direction.size = size;
    if (options_->delay == Duration(0)) {
      Forward(direction);
      return;
    }
    timers_.ScheduleAfter(
        options_->delay,
        [self = shared_from_this(), &direction] { self->Forward(direction); });
  }

  void Forward(Direction& direction) {
    if (IsBlocked(direction))
      direction.pending = true;
    else
      Write(direction);
  }

  void Write(Direction& direction) {
    asio::async_write(
        direction.to, asio::buffer(direction.buf.data(), direction.size),
        [self = shared_from_this(), &direction](error_code ec, std::size_t) {
          if (ec)
            self->Close();
          else
            self->Read(direction);
        });
  }

  void Close() {
    error_code ec;
    client_.close(ec);
    server_.close(ec);
  }

  TimerService& timers_;
  std::shared_ptr<Options> options_;
  tcp::socket client_;
  tcp::socket server_;
  Direction to_server_{client_, server_};
  Direction to_client_{server_, client_};
  bool silent_ = false;
};

FaultProxy::FaultProxy(asio::io_context& context, TimerService& timers)
    : context_(context), timers_(timers), acceptor_(context, Loopback(0)) {
  Accept();
}

FaultProxy::~FaultProxy() {
  error_code ec;
  acceptor_.close(ec);
  ResetConnections();
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec)
      return;
    auto connection = std::make_shared<Connection>(context_, timers_, options_,
                                                   std::move(socket));
    std::erase_if(connections_, [](const std::weak_ptr<Connection>& it) {
      return it.expired();
    });
    connections_.push_back(connection);
    if (options_->target == 0)
      connection->Reset();
    else
      connection->Start();
    Accept();
  });
}

std::vector<std::shared_ptr<FaultProxy::Connection>>
FaultProxy::OpenConnections() {
  std::vector<std::shared_ptr<Connection>> connections;
  for (const std::weak_ptr<Connection>& it : connections_) {
    if (std::shared_ptr<Connection> connection = it.lock())
      connections.push_back(std::move(connection));
  }
  return connections;
}

void FaultProxy::Block(bool to_server, bool to_client) {
  options_->block_to_server = to_server;
  options_->block_to_client = to_client;
}

void FaultProxy::Silence() {
  for (const std::shared_ptr<Connection>& it : OpenConnections())
    it->Silence();
}

void FaultProxy::ResetConnections() {
  for (const std::shared_ptr<Connection>& it : OpenConnections())
    it->Reset();
}

void FaultProxy::Heal() {
  options_->delay = Duration(0);
  Block(false, false);
  for (const std::shared_ptr<Connection>& it : OpenConnections())
    it->Resume();
}

}  // namespace jujubecove::soak

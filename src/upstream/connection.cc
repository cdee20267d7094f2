#include "upstream/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace jujubecove {

namespace asio = boost::asio;

Connection::Connection(asio::io_context& context,
                       const TimerService& timer,
                       UpstreamStats& stats,
                       Owner& owner)
    : socket_(context), timer_(timer), stats_(stats), owner_(owner) {}

void Connection::Connect(const asio::ip::tcp::endpoint& endpoint) {
  started = timer_.Now();
  stats_.connections_connecting.Add(1);
  socket_.async_connect(endpoint, [self = shared_from_this()](
                                      const boost::system::error_code& ec) {
    self->OnConnect(ec);
  });
}

void Connection::OnConnect(const boost::system::error_code& connect_ec) {
  if (closed_)
    return;
  boost::system::error_code ec = connect_ec;
  if (!ec)
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  if (!ec)
    socket_.non_blocking(true, ec);
  if (ec) {
    Close();
    owner_.OnConnectFailed(*this);
    return;
  }
  buffer_ = std::make_unique<char[]>(kBufferBytes);
  established = last_byte = timer_.Now();
  activity = ConnectionActivity::kIdle;
  stats_.connections_connecting.Add(-1);
  stats_.connections_open.Add(1);
  std::shared_ptr<Connection> self = shared_from_this();
  owner_.OnConnected(*this);
  if (!closed_)
    StartRead();
}

bool Connection::Write(std::string_view head,
                       const std::shared_ptr<const std::string>& body) {
  std::array<asio::const_buffer, 2> parts = {
      asio::buffer(head), body ? asio::buffer(*body) : asio::const_buffer()};
  boost::system::error_code ec;
  std::size_t written = socket_.write_some(parts, ec);
  if (ec == asio::error::would_block)
    ec = {};
  else if (ec || written == 0)
    return false;
  stats_.bytes_sent.Add(static_cast<std::int64_t>(asio::buffer_size(parts)));
  reply_pending_ = true;
  reader_.Reset();
  if (written < asio::buffer_size(parts)) {
    std::size_t in_head = std::min(written, head.size());
    unwritten_.assign(head.substr(in_head));
    if (body)
      unwritten_.append(*body, written - in_head);
    WriteRemaining();
  }
  return true;
}

void Connection::WriteRemaining() {
  asio::async_write(socket_, asio::buffer(unwritten_),
                    [self = shared_from_this()](
                        const boost::system::error_code& ec, std::size_t) {
                      // On an error the outstanding read fails too, and reports
                      // the loss.
                      if (!ec)
                        self->unwritten_.clear();
                    });
}

void Connection::StartRead() {
  socket_.async_read_some(
      asio::buffer(buffer_.get() + unparsed_, kBufferBytes - unparsed_),
      [self = shared_from_this()](const boost::system::error_code& ec,
                                  std::size_t size) {
        self->OnRead(ec, size);
      });
}

void Connection::OnRead(const boost::system::error_code& ec, std::size_t size) {
  if (closed_)
    return;
  if (ec) {
    CloseAndNotify(reply_pending_ && reader_.started() ? LossCause::kBadReply
                                                       : LossCause::kClosed);
    return;
  }
  stats_.bytes_received.Add(static_cast<std::int64_t>(size));
  last_byte = timer_.Now();
  has_received = true;
  unparsed_ += size;
  if (!reply_pending_) {
    CloseAndNotify(LossCause::kUnsolicited);
    return;
  }
  if (!ParseBytes()) {
    CloseAndNotify(LossCause::kBadReply);
    return;
  }
  if (reader_.state() == ReadState::kComplete) {
    reply_pending_ = false;
    owner_.OnReply(*this, reader_.reply());
  }
  if (!closed_)
    StartRead();
}

bool Connection::ParseBytes() {
  std::size_t consumed = reader_.Feed(buffer_.get(), unparsed_);
  unparsed_ -= consumed;
  if (unparsed_ > 0)
    std::memmove(buffer_.get(), buffer_.get() + consumed, unparsed_);
  if (reader_.state() == ReadState::kInvalid || unparsed_ == kBufferBytes)
    return false;
  return reader_.state() != ReadState::kComplete || unparsed_ == 0;
}

bool Connection::HasUnreadBytes() const {
  boost::system::error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

void Connection::CloseAndNotify(LossCause cause) {
  std::shared_ptr<Connection> self = shared_from_this();
  Close();
  owner_.OnLost(*this, cause);
}

void Connection::Close() {
  if (closed_)
    return;
  closed_ = true;
  if (buffer_)
    stats_.connections_open.Add(-1);
  else
    stats_.connections_connecting.Add(-1);
  boost::system::error_code ec;
  socket_.close(ec);
}

}  // namespace jujubecove

#include "tests/standin/scripted_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

ScriptedServer::ScriptedServer(boost::asio::io_context& context, Script script)
    : context_(context),
      script_(std::move(script)),
      acceptor_(context,
                tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
  Accept();
}

ScriptedServer::~ScriptedServer() {
  error_code ignored;
  acceptor_.close(ignored);
  CloseAll();
}

SocketAddress ScriptedServer::address() const {
  return SocketAddress{"127.0.0.1", acceptor_.local_endpoint().port()};
}

void ScriptedServer::WriteToAll(const std::string& bytes) {
  error_code ignored;
  for (const std::shared_ptr<Connection>& it : connections_)
    boost::asio::write(it->socket, boost::asio::buffer(bytes), ignored);
}

void ScriptedServer::CloseAll() {
  error_code ignored;
  for (const std::shared_ptr<Connection>& it : connections_)
    it->socket.close(ignored);
  connections_.clear();
}

void ScriptedServer::Accept() {
  std::shared_ptr<Connection> connection =
      std::make_shared<Connection>(context_);
  acceptor_.async_accept(connection->socket,
                         [this, connection](const error_code& ec) {
                           if (ec)
                             return;
                           ++accepted_;
                           connections_.push_back(connection);
                           Read(connection);
                           Accept();
                         });
}

void ScriptedServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->buf),
      [this, connection](const error_code& ec, std::size_t size) {
        if (ec)
          return;
        connection->received.append(connection->buf.data(), size);
        AnswerRequests(connection);
        if (connection->socket.is_open())
          Read(connection);
      });
}

void ScriptedServer::AnswerRequests(
    const std::shared_ptr<Connection>& connection) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  for (std::size_t end = connection->received.find(kEnd);
       end != std::string::npos; end = connection->received.find(kEnd)) {
    std::string head = connection->received.substr(0, end + kEnd.size());
    connection->received.erase(0, end + kEnd.size());
    Reaction reaction = script_(head);
    error_code ignored;
    boost::asio::write(connection->socket, boost::asio::buffer(reaction.bytes),
                       ignored);
    if (reaction.reset) {
      connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                    ignored);
    }
    if (reaction.close || reaction.reset) {
      connection->socket.close(ignored);
      return;
    }
    Stream(connection, std::make_shared<const Reaction>(std::move(reaction)),
           0);
  }
}

void ScriptedServer::Stream(const std::shared_ptr<Connection>& connection,
                            const std::shared_ptr<const Reaction>& reaction,
                            std::size_t piece) {
  const Piece& next = piece < reaction->pieces.size() ? reaction->pieces[piece]
                                                      : reaction->repeated;
  if (next.bytes.empty())
    return;
  // Reactions to different requests on a connection may overlap.
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(next.delay);
  timer->async_wait(
      [this, connection, reaction, piece, timer, &next](const error_code& ec) {
        if (ec || !connection->socket.is_open())
          return;
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(next.bytes),
                                 [this, connection, reaction, piece](
                                     const error_code& ec, std::size_t size) {
                                   if (ec)
                                     return;
                                   streamed_bytes_ += size;
                                   Stream(connection, reaction, piece + 1);
                                 });
      });
}

}  // namespace jujubecove

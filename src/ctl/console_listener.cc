#include "ctl/console_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace jujubecove {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

ConsoleResponse TooLarge(bool body) {
  ConsoleResponse response(body ? http::status::payload_too_large
                                : http::status::request_header_fields_too_large,
                           11);
  response.keep_alive(false);
  response.prepare_payload();
  return response;
}

}  // namespace

ConsoleListener::ConsoleListener(asio::io_context& io, ConsoleLimits limits)
    : acceptor_(io), limits_(limits) {}

bool ConsoleListener::Listen(std::uint16_t port) {
  beast::error_code ec;
  tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor_.bind(endpoint, ec);
  if (!ec)
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  return !ec;
}

void ConsoleListener::Start(ConsoleHandler& handler) {
  asio::co_spawn(acceptor_.get_executor(), Accept(handler), asio::detached);
}

asio::awaitable<void> ConsoleListener::Accept(ConsoleHandler& handler) {
  while (acceptor_.is_open()) {
    beast::error_code ec;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    // Any other error only affects one connection.
    if (ec)
      continue;
    asio::co_spawn(acceptor_.get_executor(),
                   Serve(beast::tcp_stream(std::move(socket)), handler),
                   asio::detached);
  }
}

asio::awaitable<void> ConsoleListener::Serve(beast::tcp_stream stream,
                                             ConsoleHandler& handler) {
  beast::flat_buffer buf;
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits_.header_bytes);
  parser.body_limit(limits_.body_bytes);
  beast::error_code ec;
  stream.expires_after(limits_.request_timeout);
  co_await http::async_read(stream, buf, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  bool long_body = ec == http::error::body_limit;
  bool long_header = ec == http::error::header_limit;
  if (ec && !long_body && !long_header)
    co_return;
  ConsoleResponse response = long_body || long_header
                                 ? TooLarge(long_body)
                                 : handler.Handle(parser.get());
  stream.expires_after(limits_.request_timeout);
  co_await http::async_write(stream, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

}  // namespace jujubecove

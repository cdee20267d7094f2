#include "tests/standin/admin_server.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

namespace jujubecove::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

class AdminSession : public std::enable_shared_from_this<AdminSession> {
 public:
  AdminSession(asio::ip::tcp::socket socket,
               const AdminServer::Handler& handler)
      : socket_(std::move(socket)), handler_(handler) {}

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       if (!ec)
                         self->Handle();
                     });
  }

 private:
  void Handle() {
    handler_(std::string(request_.method_string()),
             std::string(request_.target()), request_.body(),
             [self = shared_from_this()](unsigned status, std::string body) {
               self->Write(status, std::move(body));
             });
  }

  void Write(unsigned status, std::string body) {
    response_ = {};
    response_.result(status);
    response_.body() = std::move(body);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (!ec)
                          self->Read();
                      });
  }

  asio::ip::tcp::socket socket_;
  const AdminServer::Handler& handler_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

}  // namespace

AdminServer::AdminServer(asio::io_context& context,
                         std::uint16_t port,
                         Handler handler)
    : acceptor_(
          context,
          asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      handler_(std::move(handler)) {
  Accept();
}

void AdminServer::Accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (ec)
      return;
    std::make_shared<AdminSession>(std::move(socket), handler_)->Read();
    Accept();
  });
}

}  // namespace jujubecove::standin

#include "ctl/http_fetch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "settings/socket_address.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;
constexpr int kMaxInterimReplies = 8;

// The asynchronous steps of one call, with one timeout for all of them.
class Exchange {
 public:
  Exchange(asio::io_context& context, const HttpCall& call)
      : stream_(context),
        request_(http::string_to_verb(call.method), call.target, 11) {
    request_.set(http::field::host, "localhost");
    for (const auto& [name, value] : call.headers)
      request_.set(name, value);
    request_.body() = call.body;
    request_.prepare_payload();
    stream_.expires_after(call.timeout);
  }

  void Start(const asio::ip::tcp::endpoint& endpoint) {
    stream_.async_connect(endpoint, [this](error_code ec) {
      if (Failed(ec))
        return;
      http::async_write(stream_, request_, [this](error_code ec, std::size_t) {
        if (Failed(ec))
          return;
        Read();
      });
    });
  }

  HttpReply reply;

 private:
  bool Failed(error_code ec) {
    if (ec)
      reply.error = ec.message();
    return ec.failed();
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(stream_, buffer_, *parser_,
                     [this](error_code ec, std::size_t) { OnReply(ec); });
  }

  void OnReply(error_code ec) {
    if (Failed(ec))
      return;
    unsigned status = parser_->get().result_int();
    bool is_interim = status >= 100 && status < 200 && status != 101;
    if (is_interim && ++interim_replies_ <= kMaxInterimReplies) {
      Read();
      return;
    }
    if (status < 200 || status > 599) {
      reply.error = "invalid reply with status " + std::to_string(status);
      return;
    }
    reply.status = status;
    reply.body = std::move(parser_->get().body());
  }

  boost::beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  int interim_replies_ = 0;
  boost::beast::flat_buffer buffer_;
};

}  // namespace

HttpReply Fetch(const std::string& address, const HttpCall& call) {
  std::optional<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!parsed) {
    HttpReply reply;
    reply.error = "not an address of the form ip:port: " + address;
    return reply;
  }
  asio::io_context context;
  Exchange exchange(context, call);
  exchange.Start(asio::ip::tcp::endpoint(asio::ip::make_address(parsed->ip),
                                         parsed->port));
  context.run();
  return exchange.reply;
}

HttpReply Get(const std::string& address, const std::string& target) {
  HttpCall call;
  call.target = target;
  return Fetch(address, call);
}

}  // namespace jujubecove

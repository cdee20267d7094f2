#include "bench/http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace jujubecove::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

HttpReply Fetch(std::uint16_t port,
                const std::string& method,
                const std::string& target,
                const std::string& body) {
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  boost::system::error_code ec;
  stream.connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), ec);
  if (ec)
    return {};
  http::request<http::string_body> request(http::string_to_verb(method), target,
                                           11);
  request.set(http::field::host, "localhost");
  request.body() = body;
  request.prepare_payload();
  http::write(stream, request, ec);
  if (ec)
    return {};
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response, ec);
  if (ec)
    return {};
  return HttpReply{response.result_int(), std::move(response.body())};
}

}  // namespace jujubecove::bench

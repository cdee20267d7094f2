#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>

#include "ctl/change_commands.h"
#include "ctl/console_server.h"
#include "ctl/store_session.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint16_t kDefaultPort = 7480;
constexpr std::uint32_t kHeaderBytes = 16 * 1024;
// A document of the largest size, with every byte escaped, is above it; such a
// document has to be edited as a file.
constexpr std::uint64_t kBodyBytes = 4UL * 1024 * 1024;
constexpr std::chrono::seconds kRequestTime{10};

class PlatformBackend : public ConsoleBackend {
 public:
  explicit PlatformBackend(std::string address)
      : address_(std::move(address)) {}

  Result<InForceDocument> ReadInForce() override {
    Result<std::unique_ptr<StoreSession>> session =
        StoreSession::Open(address_);
    if (!session)
      return session.error();
    Result<std::optional<ActiveRecord>> active = session.value()->ReadActive();
    if (!active)
      return active.error();
    if (!active.value())
      return InForceDocument();
    ConfigVersion version = active.value()->active.version;
    Result<std::string> text = session.value()->ReadDocument(version);
    if (!text)
      return text.error();
    return InForceDocument{version, std::move(text.value())};
  }

  Result<ApplyReport> Apply(ApplyRequest request) override {
    Result<std::unique_ptr<StoreSession>> session =
        StoreSession::Open(address_);
    if (!session)
      return session.error();
    return ApplyDocument(*session.value(), std::move(request));
  }

 private:
  std::string address_;
};

// Reads one request, answers it and closes the connection.
asio::awaitable<void> Serve(beast::tcp_stream stream, ConsoleHandler& handler) {
  beast::flat_buffer buf;
  http::request_parser<http::string_body> parser;
  parser.header_limit(kHeaderBytes);
  parser.body_limit(kBodyBytes);
  beast::error_code ec;
  stream.expires_after(kRequestTime);
  co_await http::async_read(stream, buf, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (ec && ec != http::error::body_limit && ec != http::error::header_limit)
    co_return;
  ConsoleResponse response;
  if (ec) {
    response =
        ConsoleResponse(ec == http::error::body_limit
                            ? http::status::payload_too_large
                            : http::status::request_header_fields_too_large,
                        11);
    response.keep_alive(false);
    response.prepare_payload();
  } else {
    response = handler.Handle(parser.get());
  }
  stream.expires_after(kRequestTime);
  co_await http::async_write(stream, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

asio::awaitable<void> Accept(tcp::acceptor& acceptor, ConsoleHandler& handler) {
  while (acceptor.is_open()) {
    beast::error_code ec;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      co_return;
    asio::co_spawn(acceptor.get_executor(),
                   Serve(beast::tcp_stream(std::move(socket)), handler),
                   asio::detached);
  }
}

bool Listen(tcp::acceptor& acceptor, std::uint16_t port) {
  beast::error_code ec;
  tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  return !ec;
}

ExitCode RunServer(std::optional<std::string> text,
                   std::uint16_t port,
                   const CommandContext& context) {
  asio::io_context io;
  tcp::acceptor acceptor(io);
  if (!Listen(acceptor, port))
    return context.Fail(ExitCode::kRefused,
                        "cannot listen on 127.0.0.1:" + std::to_string(port));
  std::optional<ConsoleHandler::Secrets> secrets =
      ConsoleHandler::MakeSecrets();
  if (!secrets)
    return context.Fail(ExitCode::kRefused, "no random bytes can be had");
  port = acceptor.local_endpoint().port();
  std::string url =
      "http://127.0.0.1:" + std::to_string(port) + "/?secret=" + secrets->visit;
  PlatformBackend backend(context.platform);
  ConsoleHandler handler(backend, std::move(text), port, std::move(*secrets));
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const beast::error_code&, int) { io.stop(); });
  asio::co_spawn(io, Accept(acceptor, handler), asio::detached);
  if (context.json)
    context.PrintJson(boost::json::object{{"url", url}});
  else
    context.out << "open " << url << "\n";
  context.out.flush();
  io.run();
  return ExitCode::kOk;
}

}  // namespace

std::string ConsoleCommand::help() const {
  return "Listens on 127.0.0.1 only and prints the URL to open. The form "
         "starts "
         "from FILE, else from the document in force. PORT is 7480 by default; "
         "0 takes any free one. Ends on SIGINT or SIGTERM.";
}

ExitCode ConsoleCommand::Run(const std::vector<std::string>& arguments,
                             const CommandContext& context) {
  std::vector<std::string> words = arguments;
  std::uint16_t port = kDefaultPort;
  // The last argument is the port if it is a number.
  if (!words.empty()) {
    const std::string& word = words.back();
    const char* last = word.data() + word.size();
    auto [end, error] = std::from_chars(word.data(), last, port);
    if (error == std::errc() && end == last)
      words.pop_back();
    else
      port = kDefaultPort;
  }
  if (words.size() > 1)
    return context.Fail(ExitCode::kUsage, "console takes " + this->arguments());
  std::optional<std::string> text;
  if (!words.empty()) {
    std::ifstream file(words[0], std::ios::binary);
    if (!file)
      return context.Fail(ExitCode::kUsage, "cannot read " + words[0]);
    text = std::string(std::istreambuf_iterator<char>(file), {});
  }
  return RunServer(std::move(text), port, context);
}

}  // namespace jujubecove

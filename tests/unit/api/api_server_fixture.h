#pragma once

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "api/api_server.h"
#include "kernel/fake_timer_service.h"

namespace jujubecove {

inline std::string Post(const std::string& target,
                        const std::string& fields,
                        const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\n" + "Host: x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\n" + "Host: x\r\n" + "\r\n";
}

// Answers immediately with the request's body, or when the test calls Answer.
class FakeQueryService : public QueryService {
 public:
  void Submit(QueryRequest request, AnswerHandler handler) override {
    RequestId id = request.id;
    requests.push_back(std::move(request));
    if (echo)
      handler(RenderedAnswer{200, requests.back().body});
    else
      waiting.emplace(id, std::move(handler));
  }
  void Abandon(RequestId request) override { abandoned.push_back(request); }
  void IssueTickets(std::size_t count, TicketHandler handler) override {
    handler(std::vector<std::string>(count, "ticket"));
  }
  std::size_t in_flight() const override { return waiting.size(); }

  void Answer(RequestId id, const std::string& body) {
    auto it = waiting.find(id);
    ASSERT_NE(it, waiting.end());
    AnswerHandler handler = std::move(it->second);
    waiting.erase(it);
    handler(RenderedAnswer{200, body});
  }

  bool echo = true;
  std::vector<QueryRequest> requests;
  std::vector<RequestId> abandoned;
  std::map<RequestId, AnswerHandler> waiting;
};

struct CallerReply {
  int status = 0;
  std::string body;
  boost::beast::http::fields fields;
  bool keep_alive = false;
};

// Runs an ApiServer on a loopback socket with a fake clock. Everything runs on
// the test thread, so nothing depends on scheduling.
class ApiServerFixture : public testing::Test {
 protected:
  using tcp = boost::asio::ip::tcp;

  void StartServer(const ApiLimits& limits = {}) {
    limits_ = limits;
    query_proxy_ = std::make_unique<QueryServiceProxy>(context_, context_,
                                                       limits, metrics_);
    query_proxy_->SetService(service_);
    server_ = std::make_unique<ApiServer>(
        context_, timers_, *query_proxy_, tracer_, metrics_, limits,
        ApiServerIdentity{"1.2.3", ZoneName("nyeri")});
    server_->SetState(ApiServerState{{}, ConfigVersion(7)});
    tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    callers_ = server_->Listen(any, ListenerRole::kCallers).value();
    operations_ = server_->Listen(any, ListenerRole::kOperations).value();
  }

  // Connects without waiting for the server to accept.
  std::unique_ptr<tcp::socket> Connect() { return ConnectTo(callers_); }
  std::unique_ptr<tcp::socket> ConnectTo(const tcp::endpoint& address) {
    std::unique_ptr<tcp::socket> socket =
        std::make_unique<tcp::socket>(client_context_);
    socket->connect(address);
    socket->non_blocking(true);
    return socket;
  }

  // Sends all of `text`, running the server while the socket is full.
  void Send(tcp::socket& socket, const std::string& text) {
    std::size_t sent = 0;
    RunUntil([&] {
      boost::system::error_code ec;
      sent += socket.write_some(
          boost::asio::buffer(text.data() + sent, text.size() - sent), ec);
      return sent == text.size() ||
             (ec && ec != boost::asio::error::would_block);
    });
  }

  // Runs the server until the condition holds. The limit only ends a test that
  // hangs.
  bool RunUntil(const std::function<bool()>& condition) {
    std::chrono::steady_clock::time_point limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      context_.restart();
      if (context_.poll() == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(50));
        if (std::chrono::steady_clock::now() > limit) {
          ADD_FAILURE() << "the condition was not met in time";
          return false;
        }
      }
    }
    return true;
  }

  // Reads one reply. Returns nullopt if the connection ends first.
  std::optional<CallerReply> Receive(tcp::socket& socket) {
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    bool ended = false;
    bool read = RunUntil([&] {
      std::string& buf = unread_[&socket];
      boost::system::error_code ec;
      if (!buf.empty()) {
        parser.eager(true);
        std::size_t n = parser.put(boost::asio::buffer(buf), ec);
        buf.erase(0, n);
      }
      if (parser.is_done())
        return true;
      char bytes[4096];
      std::size_t n = socket.read_some(boost::asio::buffer(bytes), ec);
      buf.append(bytes, n);
      ended = ec && ec != boost::asio::error::would_block;
      return ended;
    });
    if (!read || ended)
      return std::nullopt;
    CallerReply reply;
    reply.status = parser.get().result_int();
    reply.body = parser.get().body();
    reply.fields = parser.get().base();
    reply.keep_alive = parser.get().keep_alive();
    return reply;
  }

  // Whether the server closes the connection without sending anything more.
  bool IsClosed(tcp::socket& socket) { return !Receive(socket).has_value(); }

  // Waits until the query service has received `count` requests.
  bool AwaitRequests(std::size_t count) {
    return RunUntil([&] { return service_.requests.size() >= count; });
  }

  std::size_t CounterValue(const std::string& series) {
    std::string text = metrics_.ToPrometheus();
    std::size_t at = text.find("\n" + series + " ");
    if (at == std::string::npos)
      return 0;
    return std::stoul(text.substr(at + series.size() + 2));
  }

  boost::asio::io_context context_;
  boost::asio::io_context client_context_;
  FakeTimerService timers_;
  MetricsRegistry metrics_;
  Tracer tracer_{1, 0.0, Duration(0)};
  FakeQueryService service_;
  ApiLimits limits_;
  std::unique_ptr<QueryServiceProxy> query_proxy_;
  std::unique_ptr<ApiServer> server_;
  tcp::endpoint callers_;
  tcp::endpoint operations_;
  std::map<tcp::socket*, std::string> unread_;
};

}  // namespace jujubecove

#include "ctl/console_listener.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

#include "ctl/console_command.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class ConsoleListenerTest : public testing::Test {
 protected:
  void Start(ConsoleLimits limits) {
    listener_ = std::make_unique<ConsoleListener>(io_, limits);
    ASSERT_TRUE(listener_->Listen(0));
    port_ = listener_->endpoint().port();
    handler_ = std::make_unique<ConsoleHandler>(
        std::nullopt, port_,
        ConsoleHandler::Secrets{"visit-1", "cookie-1", "token-1"});
    listener_->Start(*handler_);
    thread_ = std::thread([this] { io_.run(); });
  }
  void TearDown() override {
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }
  // Sends bytes and returns everything received until the connection closes.
  std::string Exchange(const std::string& bytes) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port_));
    asio::write(socket, asio::buffer(bytes));
    std::string reply;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(reply), ec);
    return reply;
  }
  std::string Head(const std::string& first_line) const {
    return first_line +
           " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port_) +
           "\r\nCookie: jujubecove_console=cookie-1\r\n";
  }

  asio::io_context io_;
  std::unique_ptr<ConsoleListener> listener_;
  std::unique_ptr<ConsoleHandler> handler_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

// Guards against a console that other machines can reach.
TEST_F(ConsoleListenerTest, ListensOnLoopbackOnly) {
  Start({});
  EXPECT_EQ(listener_->endpoint().address().to_string(), "127.0.0.1");
  EXPECT_TRUE(Exchange(Head("GET /") + "\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against a body that exhausts the memory. The request with the too long
// body ends after its header, because unread bytes would reset the connection.
TEST_F(ConsoleListenerTest, RejectsTooLongBody) {
  Start({});
  std::string head = Head("POST /edit") + "Content-Length: ";
  EXPECT_TRUE(Exchange(head + std::to_string(4 * 1024 * 1024 + 1) + "\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
  std::string body(4 * 1024 * 1024, 'a');
  EXPECT_TRUE(Exchange(head + std::to_string(body.size()) + "\r\n\r\n" + body)
                  .starts_with("HTTP/1.1 403"));
}

// Guards against a header that exhausts the memory. The bytes beyond the limit
// may reset the connection, so there may be no answer to read.
TEST_F(ConsoleListenerTest, RejectsTooLongHeader) {
  Start({.header_bytes = 1024});
  std::string reply =
      Exchange(Head("GET /") + "X: " + std::string(4096, 'a') + "\r\n\r\n");
  EXPECT_TRUE(reply.empty() || reply.starts_with("HTTP/1.1 431")) << reply;
}

// Guards against keeping the connection of a stalled request forever.
TEST_F(ConsoleListenerTest, ClosesStalledConnection) {
  Start({.request_timeout = std::chrono::milliseconds(20)});
  EXPECT_EQ(Exchange(Head("GET /")), "");
}

// Guards against a console that ignores invalid arguments and starts.
TEST(ConsoleCommandTest, RejectsInvalidArguments) {
  std::ostringstream out;
  std::ostringstream err;
  CommandContext context{"", "", false, out, err};
  ConsoleCommand command;
  EXPECT_EQ(command.Run({"a", "b", "0"}, context), ExitCode::kUsage);
  EXPECT_EQ(command.Run({"/absent/document.ini", "0"}, context),
            ExitCode::kUsage);
  EXPECT_EQ(command.Run({"65536"}, context), ExitCode::kUsage);
  EXPECT_EQ(out.str(), "");
}

}  // namespace
}  // namespace jujubecove

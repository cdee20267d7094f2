#include "tests/standin/kv_server.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class KvServerTest : public testing::Test {
 protected:
  KvServerTest() : server_(context_, 0), thread_([this] { context_.run(); }) {}
  ~KvServerTest() override {
    context_.stop();
    thread_.join();
  }

  unsigned Post(const std::string& target, const std::string& body) {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 server_.port()));
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, "store");
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    http::read(socket, buf, response);
    return response.result_int();
  }

  boost::asio::io_context context_;
  KvServer server_;
  std::thread thread_;
};

// A stand-in that ends on an odd message proves nothing about the daemon.
TEST_F(KvServerTest, AnswersMalformedChanges) {
  for (const char* body :
       {"", "[]", "{}", R"({"Writes":[]})", R"({"Deletes":[]})",
        R"({"Writes":{},"Deletes":["k"]})", R"({"Deletes":["k",7]})",
        R"({"Writes":[7]})", R"({"Writes":[{"Key":7,"Value":""}]})",
        R"({"Writes":[{"Key":"k","Value":"!"}]})",
        R"({"Writes":[{"Key":"k","Value":""}],"Expect":[{"Key":"k"}]})"})
    EXPECT_EQ(Post("/v1/kv-txn", body), 400U) << body;
}

TEST_F(KvServerTest, AppliesWritesAndDeletesTogether) {
  EXPECT_EQ(Post("/v1/kv-txn",
                 R"({"Writes":[{"Key":"a","Value":"aGk="}],"Expect":[]})"),
            200U);
  EXPECT_EQ(Post("/v1/kv-txn", R"({"Writes":[],"Deletes":["a"]})"), 200U);
  EXPECT_EQ(Post("/v1/kv-txn",
                 R"({"Writes":[{"Key":"b","Value":""},{"Key":"c","Value":""}],)"
                 R"("Deletes":["a"]})"),
            200U);
}

}  // namespace
}  // namespace jujubecove

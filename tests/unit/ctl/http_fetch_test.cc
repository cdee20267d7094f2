#include "ctl/http_fetch.h"

#include <gtest/gtest.h>

#include <thread>

#include "tests/standin/scripted_server.h"

namespace jujubecove {
namespace {

// Guards against a status that is none, which is reported as the answer of a
// daemon.
TEST(HttpFetchTest, OnlyFinalStatusesAreReplies) {
  boost::asio::io_context context;
  ScriptedServer server(context, [](const std::string& head) {
    std::string status = head.substr(head.find('/') + 1, 3);
    return ScriptedServer::Reaction{
        .bytes = "HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n",
        .close = true};
  });
  std::thread thread([&context] { context.run(); });
  for (const char* status : {"000", "099", "100", "101", "199", "600", "999"}) {
    HttpReply reply =
        Get(server.address().ToString(), std::string("/") + status);
    EXPECT_EQ(reply.status, 0U) << status;
    EXPECT_FALSE(reply.error.empty()) << status;
  }
  for (const char* status : {"200", "404", "599"}) {
    HttpReply reply =
        Get(server.address().ToString(), std::string("/") + status);
    EXPECT_EQ(std::to_string(reply.status), status);
  }
  context.stop();
  thread.join();
}

}  // namespace
}  // namespace jujubecove

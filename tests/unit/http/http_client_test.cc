#include "http/http_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "kernel/asio_timer_service.h"
#include "tests/standin/scripted_server.h"

namespace jujubecove {
namespace {

// Guards against a status that is none, which the client of the store takes for
// a reply or waits out until its timeout.
TEST(HttpClientTest, OnlyFinalStatusesAreReplies) {
  boost::asio::io_context context;
  AsioTimerService timers(context);
  ScriptedServer server(context, [](const std::string& head) {
    std::string status = head.substr(head.find('/') + 1, 3);
    return ScriptedServer::Reaction{"HTTP/1.1 " + status +
                                    " x\r\nContent-Length: 0\r\n\r\n"};
  });
  HttpClient client(context, timers, server.address(), 1000);
  for (const char* status :
       {"000", "099", "100", "101", "199", "600", "999", "200", "404", "599"}) {
    std::optional<HttpExchange> result;
    client.Call("GET", std::string("/") + status, "", std::chrono::seconds(10),
                [&](HttpExchange exchange) { result = std::move(exchange); });
    while (!result)
      context.run_one();
    bool is_final = status >= std::string("200") && status < std::string("600");
    EXPECT_EQ(result->reply.has_value(), is_final) << status;
    EXPECT_NE(result->failure, "no reply in time") << status;
  }
}

}  // namespace
}  // namespace jujubecove

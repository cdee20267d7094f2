#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "egress/http_searcher_transport.h"
#include "kernel/asio_timer_service.h"
#include "platform/http_protocol.h"
#include "tests/standin/scripted_server.h"

namespace jujubecove {

inline constexpr char kGoodReply[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: proof\r\n"
    "Content-Length: 4\r\n\r\nbody";

class SearcherTransportFixture : public testing::Test {
 protected:
  static constexpr std::size_t kMaxReplyMemory = std::size_t{1} << 20U;

  SearcherTransportFixture()
      : timers_(context_),
        transport_(context_, timers_, protocol_, kMaxReplyMemory) {}

  static std::string ValueOf(const std::string& head, const std::string& name) {
    std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
      return "";
    begin += name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  // Searchers repeat the id of the request: replaces the id r1 of a reply.
  static void EchoId(std::string& reply, const std::string& id) {
    const std::string written = "Request-Id: r1\r\n";
    std::size_t at = reply.find(written);
    if (at != std::string::npos)
      reply.replace(at, written.size(), "Request-Id: " + id + "\r\n");
  }

  void Serve(ScriptedServer::Script script) {
    server_.emplace(context_, [script](const std::string& head) {
      ScriptedServer::Reaction reaction = script(head);
      EchoId(reaction.bytes, ValueOf(head, "Request-Id"));
      return reaction;
    });
    searcher_.id = InstanceId("i-1");
    searcher_.service = ServiceName("service");
    searcher_.address = server_->address();
    transport_.SetConnectionLimit(searcher_, 2);
  }

  void Send(std::uint64_t attempt,
            std::string id = "",
            Duration write_deadline = std::chrono::seconds(5),
            bool idempotent = true,
            const std::string& accept = "x") {
    if (id.empty())
      id = "r" + std::to_string(attempt);
    auto request = std::make_shared<ForwardedRequest>();
    request->id = id;
    request->method = "GET";
    request->target = "/path?query";
    request->host = "host.example";
    request->headers = {{"Request-Id", id}, {"Accept", accept}};
    TimePoint now = timers_.Now();
    transport_.Send(AttemptId(attempt), searcher_, request,
                    {now + std::chrono::seconds(5), now + write_deadline,
                     now + write_deadline, idempotent},
                    [this, attempt](AttemptReply reply) {
                      replies_.emplace(attempt, std::move(reply));
                    });
  }

  // Runs until the attempt has ended. Returns false if it does not end.
  bool Await(std::uint64_t attempt) {
    TimePoint limit = timers_.Now() + std::chrono::seconds(10);
    while (!replies_.contains(attempt) && timers_.Now() < limit)
      context_.run_one_for(std::chrono::milliseconds(20));
    return replies_.contains(attempt);
  }
  void RunFor(Duration time) {
    TimePoint limit = timers_.Now() + time;
    while (timers_.Now() < limit)
      context_.run_one_for(std::chrono::milliseconds(5));
  }
  const AttemptReply& Reply(std::uint64_t attempt) {
    return replies_.at(attempt);
  }

  boost::asio::io_context context_;
  AsioTimerService timers_;
  platform::PlatformSearcherProtocol protocol_;
  std::optional<ScriptedServer> server_;
  HttpSearcherTransport transport_;
  SearcherEntry searcher_;
  std::map<std::uint64_t, AttemptReply> replies_;
};

}  // namespace jujubecove

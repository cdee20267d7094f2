#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "ingress/ingress_server.h"
#include "kernel/asio_timer_service.h"
#include "platform/http_protocol.h"

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct SentRequest {
  std::string method;
  std::string target;
  std::string body;
  bool is_chunked = false;
  bool expects_continue = false;
};

std::string ToWire(const SentRequest& request) {
  std::string wire = request.method + " " + request.target +
                     " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n";
  if (request.expects_continue)
    wire += "Expect: 100-continue\r\n";
  if (request.method != "POST")
    return wire + "\r\n";
  if (!request.is_chunked) {
    return wire + "Content-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n" + request.body;
  }
  wire += "Transfer-Encoding: chunked\r\n\r\n";
  for (char c : request.body)
    wire += std::string("1\r\n") + c + "\r\n";
  return wire + "0\r\n\r\n";
}

// Answers each request with its target when told to.
class PipeliningHost : public IngressHost {
 public:
  const IngressLimits& limits() const override { return limits_; }
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override {
    requests_.push_back(std::move(request));
    done_ = std::move(done);
    return nullptr;
  }
  bool ClosesConnections() const override { return false; }
  void OnRequestRejected(ErrorKind, const std::string&) override {}

  // Returns whether a request was waiting for its answer.
  bool AnswerWaiting() {
    if (!done_)
      return false;
    CallerAnswer answer;
    answer.status = 200;
    answer.body = "<" + requests_.back()->target + ">";
    std::exchange(done_, nullptr)(std::move(answer));
    return true;
  }

  IngressLimits limits_;
  std::vector<ForwardedRequestPtr> requests_;
  RequestRun::AnswerHandler done_;
};

// A caller's connection to a server that runs on the same thread.
class PipeliningCaller {
 public:
  PipeliningCaller()
      : timers_(context_),
        server_(context_, timers_, host_, protocol_, 3),
        socket_(context_) {
    tcp::acceptor probe(context_, tcp::endpoint(tcp::v4(), 0));
    tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                           probe.local_endpoint().port());
    probe.close();
    RC_ASSERT(server_.Listen({"127.0.0.1", endpoint.port()}).has_value());
    socket_.connect(endpoint);
    socket_.non_blocking(true);
    socket_.set_option(tcp::no_delay(true));
    Poll();
  }

  void Poll() {
    for (int n = 0; n < 8; ++n)
      context_.poll();
  }
  void Write(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
    Poll();
  }
  void AnswerWaiting() {
    host_.AnswerWaiting();
    Poll();
  }
  // Answers until nothing waits any more.
  void AnswerAll() {
    while (host_.AnswerWaiting())
      Poll();
  }
  std::string ReadAll() {
    std::array<char, 4096> buf{};
    error_code ec;
    std::string text;
    while (!ec) {
      std::size_t size = socket_.read_some(boost::asio::buffer(buf), ec);
      text.append(buf.data(), size);
    }
    return text;
  }
  const std::vector<ForwardedRequestPtr>& requests() const {
    return host_.requests_;
  }

 private:
  boost::asio::io_context context_;
  AsioTimerService timers_;
  PipeliningHost host_;
  platform::PlatformCallerProtocol protocol_;
  IngressServer server_;
  tcp::socket socket_;
};

SentRequest AnyRequest(std::size_t number) {
  SentRequest request;
  request.method = *rc::gen::element<std::string>("GET", "POST", "HEAD");
  request.target = "/" + std::to_string(number) +
                   std::string(*rc::gen::inRange<std::size_t>(0, 40), 'x');
  if (request.method == "POST") {
    request.body = std::string(*rc::gen::inRange<std::size_t>(0, 60),
                               static_cast<char>('a' + number));
    request.is_chunked = *rc::gen::arbitrary<bool>();
    request.expects_continue = *rc::gen::arbitrary<bool>();
  }
  return request;
}

// Guards against a pipelined request that is run again in place of the next one
// on its connection: whatever the pieces in which requests arrive and the times
// of their answers, each is submitted once, unchanged and in order.
RC_GTEST_PROP(PipeliningProperty, EachRequestIsSubmittedOnceInOrder, ()) {
  PipeliningCaller caller;
  std::vector<SentRequest> sent;
  std::string wire;
  auto count = *rc::gen::inRange<std::size_t>(1, 8);
  for (std::size_t n = 0; n < count; ++n) {
    sent.push_back(AnyRequest(n));
    wire += ToWire(sent.back());
  }
  for (std::size_t at = 0; at < wire.size();) {
    auto size = *rc::gen::inRange<std::size_t>(1, 400);
    caller.Write(wire.substr(at, size));
    at += size;
    if (*rc::gen::arbitrary<bool>())
      caller.AnswerWaiting();
  }
  caller.AnswerAll();
  RC_ASSERT(caller.requests().size() == sent.size());
  std::string answers = caller.ReadAll();
  std::size_t answers_end = 0;
  for (std::size_t n = 0; n < sent.size(); ++n) {
    const ForwardedRequest& got = *caller.requests()[n];
    RC_ASSERT(got.method == sent[n].method);
    RC_ASSERT(got.target == sent[n].target);
    RC_ASSERT((got.body ? *got.body : std::string()) == sent[n].body);
    if (sent[n].method == "HEAD")
      continue;
    answers_end = answers.find("<" + sent[n].target + ">", answers_end);
    RC_ASSERT(answers_end != std::string::npos);
  }
}

}  // namespace
}  // namespace jujubecove

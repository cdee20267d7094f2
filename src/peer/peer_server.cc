#include "peer/peer_server.h"

#include <utility>

#include "telemetry/log.h"

namespace jujubecove {
namespace {

constexpr std::size_t kMaxHeaderBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 65536;
constexpr Duration kHeaderTimeout = std::chrono::seconds(2);
constexpr Duration kIdleTimeout = std::chrono::seconds(60);

}  // namespace

Result<ForwardedRequest> PeerServer::Protocol::DecodeRequest(
    IngressRequest request,
    TimePoint received) const {
  ForwardedRequest out;
  out.method = std::move(request.method);
  out.target = std::move(request.target);
  out.body = std::make_shared<const std::string>(std::move(request.body));
  out.received = received;
  return out;
}

IngressAnswer PeerServer::Protocol::EncodeAnswer(CallerAnswer answer,
                                                 const std::string&) const {
  IngressAnswer out;
  out.status =
      answer.error ? AnswerOf(*answer.error).http_status : answer.status;
  out.headers.push_back({"Content-Type", "application/json"});
  out.body = std::move(answer.body);
  return out;
}

PeerServer::PeerServer(boost::asio::io_context& context,
                       TimerService& timers,
                       std::size_t max_connections,
                       CallerMemory* memory)
    : limits_{kMaxHeaderBytes, kMaxBodyBytes, kHeaderTimeout, kIdleTimeout},
      server_(context, timers, *this, protocol_, max_connections, memory) {}

void PeerServer::Handle(const std::string& path, Handler handler) {
  handlers_[path] = std::move(handler);
}

Result<void> PeerServer::Listen(const SocketAddress& address) {
  return server_.Listen(address);
}

std::shared_ptr<PendingRequest> PeerServer::Submit(
    ForwardedRequestPtr request,
    RequestRun::AnswerHandler done) {
  std::size_t mark = request->target.find('?');
  PeerRequest call;
  call.path = request->target.substr(0, mark);
  if (mark != std::string::npos)
    call.query = request->target.substr(mark + 1);
  if (request->body)
    call.body = *request->body;
  auto it = handlers_.find(call.path);
  if (it == handlers_.end()) {
    CallerAnswer answer;
    answer.error = ErrorKind::kNotFound;
    done(std::move(answer));
    return nullptr;
  }
  it->second(call, [done = std::move(done)](PeerReply reply) {
    CallerAnswer answer;
    answer.status = reply.status;
    answer.body = std::move(reply.body);
    done(std::move(answer));
  });
  return nullptr;
}

void PeerServer::OnRequestRejected(ErrorKind kind, const std::string& reason) {
  JJ_LOG(kFrontend, WARNING)
      << "refused a call of another entry daemon: " << NameOf(kind) << ", "
      << reason;
}

}  // namespace jujubecove

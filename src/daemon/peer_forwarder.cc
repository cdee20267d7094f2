#include "daemon/peer_forwarder.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "telemetry/log.h"

namespace jujubecove {
namespace {

constexpr char kCaller[] = "jujubecove-caller";
constexpr char kKey[] = "jujubecove-key";
constexpr char kTicket[] = "idempotency-key";
constexpr char kTraceparent[] = "traceparent";

std::string HeaderOf(const wire::ForwardRequest& request, const char* name) {
  auto it = request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

}  // namespace

wire::ForwardRequest ToForwardRequest(QueryRequest request) {
  wire::ForwardRequest wire;
  wire.kind = request.kind.value();
  wire.headers[kCaller] = request.caller.value();
  wire.headers[kKey] = request.key;
  wire.headers[kTicket] = request.idempotency_key;
  wire.headers[kTraceparent] = request.traceparent;
  wire.body = std::move(request.body);
  Duration deadline = request.deadline.value_or(Duration(0));
  wire.deadline_ms = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count());
  return wire;
}

QueryRequest FromForwardRequest(const wire::ForwardRequest& wire) {
  QueryRequest request;
  request.kind = KindName(wire.kind);
  request.caller = CallerName(HeaderOf(wire, kCaller));
  request.key = HeaderOf(wire, kKey);
  request.idempotency_key = HeaderOf(wire, kTicket);
  request.traceparent = HeaderOf(wire, kTraceparent);
  request.body = wire.body;
  request.deadline =
      std::chrono::milliseconds(std::max<std::int32_t>(wire.deadline_ms, 0));
  return request;
}

PeerForwarder::PeerForwarder(DutyThread& query,
                             DutyThread& control,
                             std::size_t capacity)
    : query_(query),
      to_control_(MakeTaskRing(control.context(), capacity)),
      to_query_(MakeTaskRing(query.context(), capacity)),
      capacity_(capacity) {}

void PeerForwarder::Forward(const TicketOwner& owner,
                            QueryRequest request,
                            Handler handler) {
  if (outstanding_ >= capacity_) {
    handler(std::nullopt);
    return;
  }
  ++outstanding_;
  Handler counted = [this, handler](std::optional<RenderedAnswer> answer) {
    --outstanding_;
    handler(std::move(answer));
  };
  std::string address = owner.peer_address;
  wire::ForwardRequest wire = ToForwardRequest(std::move(request));
  bool pushed =
      to_control_->TryPush([this, address, wire = std::move(wire), counted] {
        Execute(address, wire, counted);
      });
  if (!pushed)
    counted(std::nullopt);
}

void PeerForwarder::Execute(const std::string& address,
                            const wire::ForwardRequest& request,
                            Handler handler) {
  if (transport_ == nullptr || known_.count(address) == 0) {
    Answer(std::move(handler), std::nullopt);
    return;
  }
  transport_->Execute(
      address, request, std::chrono::milliseconds(request.deadline_ms),
      [this, handler](PeerResult<wire::ForwardReply> result) {
        if (result.status != PeerStatus::kDone) {
          Answer(handler, std::nullopt);
          return;
        }
        Answer(handler, RenderedAnswer{result.value.status,
                                       std::move(result.value.body)});
      });
}

// The ring has a place for every outstanding request.
void PeerForwarder::Answer(Handler handler,
                           std::optional<RenderedAnswer> answer) {
  if (!to_query_->TryPush(
          [handler = std::move(handler), answer = std::move(answer)]() mutable {
            handler(std::move(answer));
          }))
    JJ_LOG(kPeer, ERROR) << "second answer to a forwarded request";
}

}  // namespace jujubecove

#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemon/duty_thread.h"
#include "gather/query_service_impl.h"
#include "gather/ticket_forwarder.h"
#include "peer/peer_transport.h"

namespace jujubecove {

// Takes requests from the query thread to their owner by way of the control
// thread, and brings the answers back.
class PeerForwarder : public TicketForwarder {
 public:
  PeerForwarder(DutyThread& query, DutyThread& control, std::size_t capacity);

  // Called while the process is being wired.
  void SetTransport(PeerTransport& transport) { transport_ = &transport; }

  // On the query thread.
  void Forward(const TicketOwner& owner,
               QueryRequest request,
               Handler handler) override;

  // On the control thread: the addresses of known daemons. Others are not
  // connected to, since the address comes from the caller's text.
  void SetKnownAddresses(std::set<std::string> addresses) {
    known_ = std::move(addresses);
  }

 private:
  // On the control thread.
  void Execute(const std::string& address,
               const wire::ForwardRequest& request,
               Handler handler);
  void Answer(Handler handler, std::optional<RenderedAnswer> answer);

  DutyThread& query_;
  PeerTransport* transport_ = nullptr;
  std::unique_ptr<TaskRing> to_control_;
  std::unique_ptr<TaskRing> to_query_;
  std::set<std::string> known_;
  // Forwarded requests whose answer is due; bounds the ring of answers. Query
  // thread only.
  std::size_t outstanding_ = 0;
  std::size_t capacity_;
};

// Conversions of the peer protocol.
wire::ForwardRequest ToForwardRequest(QueryRequest request);
QueryRequest FromForwardRequest(const wire::ForwardRequest& request);

}  // namespace jujubecove

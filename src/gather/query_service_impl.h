#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"
#include "gather/query_engine_impl.h"
#include "gather/query_service.h"
#include "gather/ticket_forwarder.h"
#include "gather/trace_sink.h"
#include "kernel/timer_service.h"
#include "tickets/ticket_table.h"

namespace jujubecove {

struct QueryServiceOptions {
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_key_bytes = 4U << 10U;
  // For a forwarded request of a kind that this daemon does not know.
  Duration default_deadline = std::chrono::seconds(10);
  // Subtracted from the deadline of a forwarded request to allow for the round
  // trip to the owner; at most a tenth of the deadline.
  Duration forward_margin{4'000};
};

// Validates requests and runs them. A request with a ticket runs on the daemon
// that owns the ticket.
class QueryServiceImpl : public QueryService {
 public:
  QueryServiceImpl(TimerService& timers,
                   QueryEngineImpl& engine,
                   TicketTable& tickets,
                   TicketForwarder& forwarder,
                   const QueryServiceOptions& options);

  void Submit(QueryRequest request, AnswerHandler handler) override;
  // A request with a ticket continues, so that duplicate requests get its
  // outcome.
  void Abandon(RequestId request) override;
  void IssueTickets(std::size_t count, TicketHandler handler) override;
  std::size_t in_flight() const override { return in_flight_; }

  // Runs a request that another daemon forwarded because this one owns its
  // ticket. It is never forwarded again. The request id is ignored.
  void ExecuteForwarded(QueryRequest request, AnswerHandler handler);

 private:
  // A request that has not been answered.
  struct Pending {
    AnswerHandler handler;
    // Timer that answers kOutcomeUnknown at the deadline.
    TimerId limit;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr AddPending(AnswerHandler handler);
  void Answer(const PendingPtr& pending, RenderedAnswer answer);
  void AnswerUnknownAfter(const PendingPtr& pending, Duration delay);
  std::optional<Error> CheckRequest(const QueryRequest& request,
                                    bool has_ticket) const;
  Duration DeadlineOf(const QueryRequest& request) const;
  void RunWithTicket(QueryRequest request, const PendingPtr& pending);
  void RunAndRecord(QueryRequest request, const PendingPtr& pending);
  void ForwardToOwner(const TicketOwner& owner,
                      QueryRequest request,
                      const PendingPtr& pending);

  TimerService& timers_;
  QueryEngineImpl& engine_;
  TicketTable& tickets_;
  TicketForwarder& forwarder_;
  QueryServiceOptions options_;
  std::size_t in_flight_ = 0;
  std::uint64_t next_ticket_request_id_ = 1;
};

}  // namespace jujubecove

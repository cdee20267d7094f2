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
#include "once/ticket_table.h"

namespace jujubecove {

struct QueryServiceOptions {
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_key_bytes = 4U << 10U;
  // For a forwarded request of a kind that this daemon does not know.
  Duration default_deadline = std::chrono::seconds(10);
  // Kept back from the deadline of a forwarded request for the way to the owner
  // and back; at most a tenth of the deadline.
  Duration forward_margin{4'000};
};

// Checks requests and runs each under its ticket, here or at the ticket's
// owner.
class QueryServiceImpl : public QueryService {
 public:
  QueryServiceImpl(TimerService& timers,
                   QueryEngineImpl& engine,
                   TicketTable& tickets,
                   TicketForwarder& forwarder,
                   const QueryServiceOptions& options);

  void Submit(QueryRequest request, AnswerHandler handler) override;
  // A request with a ticket runs on, so that repeats get its outcome.
  void Abandon(RequestId request) override;
  void IssueTickets(std::size_t count, TicketHandler handler) override;
  std::size_t in_flight() const override { return in_flight_; }

  // Runs a request that another daemon forwarded because this one owns its
  // ticket. It is never forwarded again. The request's number is ignored.
  void ExecuteForwarded(QueryRequest request, AnswerHandler handler);

 private:
  // A caller that waits for an answer.
  struct Pending {
    AnswerHandler handler;
    TimerId limit;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr Track(AnswerHandler handler);
  void Answer(const PendingPtr& pending, RenderedAnswer answer);
  void AnswerUnknownAt(const PendingPtr& pending, Duration delay);
  std::optional<Error> FaultOf(const QueryRequest& request,
                               bool has_ticket) const;
  Duration DeadlineOf(const QueryRequest& request) const;
  void RunTicket(QueryRequest request, const PendingPtr& pending);
  void RunOnce(QueryRequest request, const PendingPtr& pending);
  void ForwardTicket(const TicketOwner& owner,
                     QueryRequest request,
                     const PendingPtr& pending);

  TimerService& timers_;
  QueryEngineImpl& engine_;
  TicketTable& tickets_;
  TicketForwarder& forwarder_;
  QueryServiceOptions options_;
  std::size_t in_flight_ = 0;
  std::uint64_t next_ticket_run_ = 1;
};

}  // namespace jujubecove

#include "gather/query_service_impl.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "gather/answer_json.h"

namespace jujubecove {
namespace {

// Requests with tickets get ids from a separate range that cannot collide with
// the frontend's: they may come from another daemon, and a client that
// disconnects must not abandon them.
constexpr std::uint64_t kTicketRequestIdBase = 1ULL << 63U;

std::uint64_t FingerprintOf(const QueryRequest& request) {
  std::uint64_t kind = Hash64(request.kind.value());
  return Hash64(request.body, Hash64(request.key, kind));
}

RenderedAnswer RenderError(const Error& error) {
  return RenderRefusal(error.kind, AnswerOf(error.kind).execution,
                       error.detail);
}

RenderedAnswer RenderUnknown(std::string_view detail) {
  return RenderRefusal(ErrorKind::kOutcomeUnknown, Execution::kUnknown, detail);
}

}  // namespace

QueryServiceImpl::QueryServiceImpl(TimerService& timers,
                                   QueryEngineImpl& engine,
                                   TicketTable& tickets,
                                   TicketForwarder& forwarder,
                                   const QueryServiceOptions& options)
    : timers_(timers),
      engine_(engine),
      tickets_(tickets),
      forwarder_(forwarder),
      options_(options) {}

void QueryServiceImpl::Submit(QueryRequest request, AnswerHandler handler) {
  PendingPtr pending = AddPending(std::move(handler));
  bool has_ticket = false;
  if (!request.idempotency_key.empty()) {
    Result<TicketOwner> owner = tickets_.OwnerOf(request.idempotency_key);
    has_ticket = owner.has_value();
    if (has_ticket && !tickets_.Owns(owner.value())) {
      ForwardToOwner(owner.value(), std::move(request), pending);
      return;
    }
  }
  if (has_ticket) {
    RunWithTicket(std::move(request), pending);
    return;
  }
  std::optional<Error> rejection = CheckRequest(request, false);
  if (rejection) {
    Answer(pending, RenderError(*rejection));
    return;
  }
  engine_.Submit(std::move(request),
                 [this, pending](const QueryAnswer& answer) {
                   Answer(pending, RenderAnswer(answer));
                 });
}

void QueryServiceImpl::Abandon(RequestId request) {
  engine_.Abandon(request);
}

void QueryServiceImpl::IssueTickets(std::size_t count, TicketHandler handler) {
  handler(tickets_.Issue(count));
}

void QueryServiceImpl::ExecuteForwarded(QueryRequest request,
                                        AnswerHandler handler) {
  PendingPtr pending = AddPending(std::move(handler));
  Result<TicketOwner> owner = tickets_.OwnerOf(request.idempotency_key);
  if (!owner || !tickets_.Owns(owner.value())) {
    Answer(pending, RenderUnknown("the ticket belongs to another incarnation"));
    return;
  }
  RunWithTicket(std::move(request), pending);
}

QueryServiceImpl::PendingPtr QueryServiceImpl::AddPending(
    AnswerHandler handler) {
  ++in_flight_;
  PendingPtr pending = std::make_shared<Pending>();
  pending->handler = std::move(handler);
  return pending;
}

// Later answers to the same request are dropped.
void QueryServiceImpl::Answer(const PendingPtr& pending,
                              RenderedAnswer answer) {
  if (!pending->handler)
    return;
  timers_.Cancel(pending->limit);
  --in_flight_;
  AnswerHandler handler = std::exchange(pending->handler, nullptr);
  handler(std::move(answer));
}

void QueryServiceImpl::AnswerUnknownAfter(const PendingPtr& pending,
                                          Duration delay) {
  pending->limit = timers_.ScheduleAfter(delay, [this, pending] {
    Answer(pending, RenderUnknown("no outcome before the deadline"));
  });
}

std::optional<Error> QueryServiceImpl::CheckRequest(const QueryRequest& request,
                                                    bool has_ticket) const {
  const std::shared_ptr<const Document>& document = engine_.document();
  if (!document)
    return Error{ErrorKind::kNotReady, "no configuration is active"};
  if (request.body.size() > options_.max_body_bytes)
    return Error{ErrorKind::kPayloadTooLarge, "the body is too large"};
  auto it = document->kinds.find(request.kind);
  if (it == document->kinds.end())
    return Error{ErrorKind::kUnknownKind, request.kind.value()};
  if (it->second.addressing == Addressing::kOneKey && request.key.empty())
    return Error{ErrorKind::kBadRequest, "the kind needs a key"};
  if (request.key.size() > options_.max_key_bytes)
    return Error{ErrorKind::kBadRequest, "the key is too long"};
  if (it->second.idempotent || has_ticket)
    return std::nullopt;
  if (request.idempotency_key.empty())
    return Error{ErrorKind::kTicketRequired, "the kind needs a ticket"};
  return Error{ErrorKind::kTicketInvalid, "the text is not a ticket"};
}

Duration QueryServiceImpl::DeadlineOf(const QueryRequest& request) const {
  Duration limit = options_.default_deadline;
  const std::shared_ptr<const Document>& document = engine_.document();
  if (document) {
    auto it = document->kinds.find(request.kind);
    if (it != document->kinds.end())
      limit = it->second.deadline;
  }
  return std::min(request.deadline.value_or(limit), limit);
}

void QueryServiceImpl::RunWithTicket(QueryRequest request,
                                     const PendingPtr& pending) {
  TicketTable::Waiter waiter = [this, pending](const TicketOutcome& outcome) {
    Answer(pending, RenderedAnswer{outcome.http_status, outcome.answer});
  };
  Result<TicketBeginResult> begin = tickets_.Begin(
      request.idempotency_key, FingerprintOf(request), std::move(waiter));
  if (!begin) {
    Answer(pending, RenderError(begin.error()));
    return;
  }
  switch (begin.value().state) {
    case TicketState::kFinished: {
      const TicketOutcome& outcome = *begin.value().outcome;
      Answer(pending, RenderedAnswer{outcome.http_status, outcome.answer});
      break;
    }
    case TicketState::kJoined:
      AnswerUnknownAfter(pending, DeadlineOf(request));
      break;
    case TicketState::kRun:
      RunAndRecord(std::move(request), pending);
      break;
  }
}

// The ticket has begun, so even the refusal of an invalid request is recorded
// and final: a delayed duplicate gets the recorded outcome.
void QueryServiceImpl::RunAndRecord(QueryRequest request,
                                    const PendingPtr& pending) {
  std::string ticket = request.idempotency_key;
  auto finish = [this, ticket, pending](Execution execution,
                                        RenderedAnswer answer) {
    tickets_.Finish(ticket,
                    TicketOutcome{execution, answer.body, answer.http_status});
    Answer(pending, std::move(answer));
  };
  std::optional<Error> rejection = CheckRequest(request, true);
  if (rejection) {
    finish(
        Execution::kNotRun,
        RenderRefusal(rejection->kind, Execution::kNotRun, rejection->detail));
    return;
  }
  request.id = RequestId(kTicketRequestIdBase | next_ticket_request_id_++);
  engine_.Submit(std::move(request), [finish](const QueryAnswer& answer) {
    finish(answer.execution, RenderAnswer(answer));
  });
}

void QueryServiceImpl::ForwardToOwner(const TicketOwner& owner,
                                      QueryRequest request,
                                      const PendingPtr& pending) {
  Duration limit = DeadlineOf(request);
  AnswerUnknownAfter(pending, limit);
  request.deadline = limit - std::min(options_.forward_margin, limit / 10);
  forwarder_.Forward(
      owner, std::move(request),
      [this, pending](std::optional<RenderedAnswer> answer) {
        if (answer)
          Answer(pending, std::move(*answer));
        else
          Answer(pending, RenderUnknown("the ticket's owner did not answer"));
      });
}

}  // namespace jujubecove

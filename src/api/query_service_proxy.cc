#include "api/query_service_proxy.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "api/error_body.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

RenderedAnswer RenderTickets(const Result<std::vector<std::string>>& tickets) {
  if (!tickets)
    return RenderError(tickets.error().kind,
                       AnswerOf(tickets.error().kind).execution,
                       tickets.error().detail);
  boost::json::array names;
  for (const std::string& ticket : tickets.value())
    names.emplace_back(ticket);
  boost::json::object body;
  body["status"] = "ok";
  body["tickets"] = std::move(names);
  return RenderedAnswer{200, boost::json::serialize(body)};
}

}  // namespace

// The ring of answers has a slot for every request in flight, so pushing an
// answer never fails.
QueryServiceProxy::QueryServiceProxy(boost::asio::io_context& frontend,
                                     boost::asio::io_context& query,
                                     const ApiLimits& limits,
                                     MetricsRegistry& metrics)
    : max_in_flight_(limits.requests_in_flight),
      commands_(query, limits.ring_capacity),
      answers_(frontend, limits.requests_in_flight),
      rejected_(metrics.AddCounter(
          "jujubecove_frontend_overloaded_total",
          "Requests refused because the ring to the query thread was full or "
          "too many were in flight.")),
      mismatched_(metrics.AddCounter(
          "jujubecove_frontend_mismatched_answers_total",
          "Answers that matched no waiting request and were dropped.")),
      in_flight_gauge_(metrics.AddGauge(
          "jujubecove_frontend_in_flight",
          "Requests that the query thread has not answered.")) {
  commands_.SetHandler(
      [this](Command command) { OnCommand(std::move(command)); });
  answers_.SetHandler([this](Answer answer) { OnAnswer(std::move(answer)); });
}

Result<RequestId> QueryServiceProxy::Submit(QueryRequest request,
                                            ConnectionGeneration generation,
                                            AnswerHandler handler) {
  Command command;
  command.action = Action::kSubmit;
  command.generation = generation;
  command.request = std::move(request);
  return Push(std::move(command), std::move(handler));
}

Result<RequestId> QueryServiceProxy::IssueTickets(
    std::size_t count,
    ConnectionGeneration generation,
    AnswerHandler handler) {
  Command command;
  command.action = Action::kIssueTickets;
  command.generation = generation;
  command.ticket_count = count;
  return Push(std::move(command), std::move(handler));
}

Result<RequestId> QueryServiceProxy::Push(Command command,
                                          AnswerHandler handler) {
  PushAbandons();
  RequestId id(next_id_);
  ConnectionGeneration generation = command.generation;
  command.id = id;
  command.request.id = id;
  if (pending_.size() >= max_in_flight_ ||
      !commands_.TryPush(std::move(command))) {
    rejected_.Add();
    return Error{ErrorKind::kOverloaded, "too many requests in flight"};
  }
  ++next_id_;
  pending_.emplace(id, PendingRequest{generation, std::move(handler)});
  in_flight_gauge_.Set(static_cast<double>(pending_.size()));
  return id;
}

void QueryServiceProxy::Abandon(RequestId id) {
  auto it = pending_.find(id);
  if (it == pending_.end())
    return;
  it->second.handler = nullptr;
  pending_abandons_.push_back(id);
  PushAbandons();
}

void QueryServiceProxy::PushAbandons() {
  while (!pending_abandons_.empty()) {
    Command command;
    command.action = Action::kAbandon;
    command.id = pending_abandons_.back();
    if (!commands_.TryPush(std::move(command)))
      return;
    pending_abandons_.pop_back();
  }
}

void QueryServiceProxy::OnAnswer(Answer answer) {
  auto it = pending_.find(answer.id);
  if (it == pending_.end() || it->second.generation != answer.generation) {
    mismatched_.Add();
    JJ_LOG(kFrontend, ERROR) << "dropped an answer to request "
                             << answer.id.value() << " that is not pending";
    return;
  }
  AnswerHandler handler = std::move(it->second.handler);
  pending_.erase(it);
  std::erase(pending_abandons_, answer.id);
  in_flight_gauge_.Set(static_cast<double>(pending_.size()));
  PushAbandons();
  if (handler)
    handler(answer.generation, std::move(answer.answer));
}

void QueryServiceProxy::OnCommand(Command command) {
  RequestId id = command.id;
  ConnectionGeneration generation = command.generation;
  switch (command.action) {
    case Action::kSubmit:
      service_->Submit(std::move(command.request),
                       [this, id, generation](RenderedAnswer answer) {
                         PushAnswer(id, generation, std::move(answer));
                       });
      return;
    case Action::kIssueTickets:
      service_->IssueTickets(
          command.ticket_count,
          [this, id, generation](Result<std::vector<std::string>> tickets) {
            PushAnswer(id, generation, RenderTickets(tickets));
          });
      return;
    case Action::kAbandon:
      service_->Abandon(id);
      return;
  }
}

void QueryServiceProxy::PushAnswer(RequestId id,
                                   ConnectionGeneration generation,
                                   RenderedAnswer answer) {
  if (!answers_.TryPush(Answer{id, generation, std::move(answer)}))
    JJ_LOG(kFrontend, ERROR)
        << "dropped a second answer to request " << id.value();
}

}  // namespace jujubecove

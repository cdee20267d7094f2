#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "frontend/api_limits.h"
#include "gather/query_service.h"
#include "kernel/channel.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Names one use of a connection: an answer for another one is not delivered.
using ConnectionGeneration =
    StrongId<struct ConnectionGenerationTag, std::uint64_t>;

// Carries requests from the frontend thread to the QueryService on the query
// thread and answers back, over two bounded rings.
class QueryServiceProxy {
 public:
  // Receives the answer on the frontend thread.
  using AnswerHandler =
      std::function<void(ConnectionGeneration, RenderedAnswer)>;

  QueryServiceProxy(boost::asio::io_context& frontend,
                    boost::asio::io_context& query,
                    const ApiLimits& limits,
                    MetricsRegistry& metrics);

  // Sets where requests go; called while the process is being wired.
  void SetService(QueryService& service) { service_ = &service; }

  // The following are called on the frontend thread. The first two fail with
  // kOverloaded, and then the request was not handed over; otherwise `handler`
  // is called exactly once, unless the request is abandoned.
  Result<RequestId> Submit(QueryRequest request,
                           ConnectionGeneration generation,
                           AnswerHandler handler);
  Result<RequestId> IssueTickets(std::size_t count,
                                 ConnectionGeneration generation,
                                 AnswerHandler handler);
  // The caller went away. The handler will not be called.
  void Abandon(RequestId id);

  // Requests that the query thread has not answered, abandoned ones included.
  std::size_t in_flight() const { return waiting_.size(); }

 private:
  enum class Action : std::uint8_t { kSubmit, kAbandon, kIssueTickets };

  struct Command {
    Action action = Action::kSubmit;
    RequestId id;
    ConnectionGeneration generation;
    QueryRequest request;
    std::size_t ticket_count = 0;
  };
  struct Answer {
    RequestId id;
    ConnectionGeneration generation;
    RenderedAnswer answer;
  };
  struct Waiting {
    ConnectionGeneration generation;
    // Empty after Abandon.
    AnswerHandler handler;
  };

  Result<RequestId> Push(Command command, AnswerHandler handler);
  void PushAbandons();
  void OnAnswer(Answer answer);
  // These run on the query thread.
  void OnCommand(Command command);
  void PushAnswer(RequestId id,
                  ConnectionGeneration generation,
                  RenderedAnswer answer);

  QueryService* service_ = nullptr;
  std::size_t max_in_flight_;
  // Request ids of the frontend; other sources of requests on the query thread
  // use ids with the highest bit set.
  std::uint64_t next_id_ = 1;
  std::unordered_map<RequestId, Waiting> waiting_;
  // Abandoned while the ring was full; sent when an answer has come.
  std::vector<RequestId> late_abandons_;
  Channel<Command> commands_;
  Channel<Answer> answers_;
  Counter& refused_;
  Counter& mismatched_;
  Gauge& in_flight_gauge_;
};

}  // namespace jujubecove

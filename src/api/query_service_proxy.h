#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/api_limits.h"
#include "base/ids.h"
#include "gather/query_service.h"
#include "kernel/channel.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Identifies one request on one connection. An answer with another generation
// is not delivered.
using ConnectionGeneration =
    StrongId<struct ConnectionGenerationTag, std::uint64_t>;

// Forwards requests from the frontend thread to the QueryService on the query
// thread and returns the answers, over two bounded rings.
class QueryServiceProxy {
 public:
  // Receives the answer on the frontend thread.
  using AnswerHandler =
      std::function<void(ConnectionGeneration, RenderedAnswer)>;

  QueryServiceProxy(boost::asio::io_context& frontend,
                    boost::asio::io_context& query,
                    const ApiLimits& limits,
                    MetricsRegistry& metrics);

  // Must be called before the first request.
  void SetService(QueryService& service) { service_ = &service; }

  // The following are called on the frontend thread. Submit and IssueTickets
  // fail with kOverloaded if the request was not forwarded; otherwise `handler`
  // is called exactly once, unless the request is abandoned.
  Result<RequestId> Submit(QueryRequest request,
                           ConnectionGeneration generation,
                           AnswerHandler handler);
  Result<RequestId> IssueTickets(std::size_t count,
                                 ConnectionGeneration generation,
                                 AnswerHandler handler);
  // The client disconnected. The handler will not be called.
  void Abandon(RequestId id);

  // Requests that the query thread has not answered, including abandoned ones.
  std::size_t in_flight() const { return pending_.size(); }

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
  struct PendingRequest {
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
  // Other sources of requests on the query thread use ids with the highest bit
  // set.
  std::uint64_t next_id_ = 1;
  std::unordered_map<RequestId, PendingRequest> pending_;
  // Abandoned while the ring was full; sent with the next request or answer.
  std::vector<RequestId> pending_abandons_;
  Channel<Command> commands_;
  Channel<Answer> answers_;
  Counter& rejected_;
  Counter& mismatched_;
  Gauge& in_flight_gauge_;
};

}  // namespace jujubecove

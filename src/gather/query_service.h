#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gather/query.h"

namespace jujubecove {

// An answer as it goes to the caller: the status and a JSON body. It is kept in
// this form for repeats of a ticket and travels between daemons in it.
struct RenderedAnswer {
  int http_status = 500;
  std::string body;
};

// What the callers' interface needs of the rest of the tier. Lives on the query
// thread.
class QueryService {
 public:
  using AnswerHandler = std::function<void(RenderedAnswer)>;
  using TicketHandler = std::function<void(Result<std::vector<std::string>>)>;

  virtual ~QueryService() = default;

  // `handler` is called exactly once, possibly from within Submit.
  virtual void Submit(QueryRequest request, AnswerHandler handler) = 0;
  virtual void Abandon(RequestId request) = 0;
  virtual void IssueTickets(std::size_t count, TicketHandler handler) = 0;
  // Requests that have not been answered, for a graceful shutdown.
  virtual std::size_t in_flight() const = 0;
};

}  // namespace jujubecove

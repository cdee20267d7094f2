#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gather/query.h"

namespace jujubecove {

// An answer as sent to the caller: the HTTP status and a JSON body. It is also
// stored for duplicate requests with the same ticket and sent between daemons
// in this form.
struct RenderedAnswer {
  int http_status = 500;
  std::string body;
};

// Handles the requests that the frontend receives from callers. Lives on the
// query thread.
class QueryService {
 public:
  using AnswerHandler = std::function<void(RenderedAnswer)>;
  using TicketHandler = std::function<void(Result<std::vector<std::string>>)>;

  virtual ~QueryService() = default;

  // `handler` is called exactly once, possibly from within Submit.
  virtual void Submit(QueryRequest request, AnswerHandler handler) = 0;
  virtual void Abandon(RequestId request) = 0;
  virtual void IssueTickets(std::size_t count, TicketHandler handler) = 0;
  // Number of unanswered requests, for a graceful shutdown.
  virtual std::size_t in_flight() const = 0;
};

}  // namespace jujubecove

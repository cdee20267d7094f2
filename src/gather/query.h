#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/units.h"
#include "shard/coverage.h"

namespace jujubecove {

// A caller's request, after the frontend has checked its form.
struct QueryRequest {
  RequestId id;
  KindName kind;
  CallerName caller;
  // For kinds that address one key.
  std::string key;
  // Ticket of a non-idempotent request; empty otherwise.
  std::string idempotency_key;
  std::string traceparent;
  std::string body;
  // The sooner of the caller's deadline and the kind's.
  std::optional<Duration> deadline;
};

// The one answer to a request. `error` is absent when the kind's demands are
// met; the coverage is stated in either case once a shard map is known.
struct QueryAnswer {
  RequestId id;
  std::optional<ErrorKind> error;
  Execution execution = Execution::kNotRun;
  std::string detail;
  Coverage coverage;
  // Set when every covered shard was read at this version.
  std::optional<IndexVersion> index_version;
  ConfigVersion config_version;
  std::string trace_id;
  // A JSON array of records.
  std::string results;
};

// Turns a request into attempts at searchers and their replies into one answer.
class QueryEngine {
 public:
  using AnswerHandler = std::function<void(QueryAnswer)>;

  virtual ~QueryEngine() = default;

  // `handler` is called exactly once, possibly from within Submit.
  virtual void Submit(QueryRequest request, AnswerHandler handler) = 0;
  // The caller went away. An idempotent query is cancelled upstream; a
  // non-idempotent one that was sent runs on. The handler is still called.
  virtual void Abandon(RequestId request) = 0;
  virtual std::size_t in_flight() const = 0;
};

}  // namespace jujubecove

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/units.h"
#include "shard/coverage.h"

namespace jujubecove {

// A caller's request, after the frontend has checked its syntax.
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
  // The caller's, if any; the kind's deadline is an upper limit.
  std::optional<Duration> deadline;
};

// The answer to a request. `error` is absent when the coverage that the kind
// requires is reached; the coverage is reported in either case once a shard map
// is known.
struct QueryAnswer {
  RequestId id;
  std::optional<ErrorKind> error;
  Execution execution = Execution::kNotRun;
  std::string detail;
  Coverage coverage;
  // Set when all covered shards were read at the same version.
  std::optional<IndexVersion> index_version;
  ConfigVersion config_version;
  std::string trace_id;
  // A JSON array of records.
  std::string results;
};

// Sends a request to searchers as attempts and merges their replies into one
// answer.
class QueryEngine {
 public:
  using AnswerHandler = std::function<void(QueryAnswer)>;

  virtual ~QueryEngine() = default;

  // `handler` is called exactly once, possibly from within Submit.
  virtual void Submit(QueryRequest request, AnswerHandler handler) = 0;
  // Must be called when the client has disconnected. Cancels an idempotent
  // query upstream; a non-idempotent one that has been sent continues. The
  // handler is still called.
  virtual void Abandon(RequestId request) = 0;
  virtual std::size_t in_flight() const = 0;
};

}  // namespace jujubecove

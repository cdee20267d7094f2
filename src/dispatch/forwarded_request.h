#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/units.h"
#include "http/header_field.h"

namespace jujubecove {

// A caller's request as it is forwarded to searchers, without the fields that
// are added for each attempt.
struct ForwardedRequest {
  // Chosen by the caller; each of its own attempts has a new one.
  std::string id;
  std::string method;
  // Path and query, unchanged.
  std::string target;
  std::string host;
  // Without hop-by-hop fields.
  HeaderFields headers;
  // The workspace that holds the caller's API key. Searchers are told its name.
  std::optional<WorkspaceName> workspace;
  std::shared_ptr<const std::string> body;
  // Relative to `received`, as given by the caller.
  std::optional<Duration> deadline;
  TimePoint received{};
  // Whether its caller opened a connection for it.
  bool on_new_connection = false;
};

using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

// The answer to a caller's request.
struct CallerAnswer {
  // Set if the tier itself answers instead of a searcher.
  std::optional<ErrorKind> error;
  // Details of `error`, for the log and the caller.
  std::string reason;
  // Suggested delay before the caller retries a request that has not run.
  std::optional<Duration> retry_after;
  // Taken from the searcher's reply if it is forwarded unchanged.
  int status = 0;
  HeaderFields headers;
  std::string body;
  // Set for a merged answer: proofs of its parts, and the number of shards that
  // are missing.
  std::vector<std::string> part_proofs;
  int missing_parts = 0;
};

}  // namespace jujubecove

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/units.h"
#include "http/header_field.h"

namespace jujubecove {

// A caller's request as it is passed on: everything that a searcher sees of it
// except for what is added for each attempt.
struct ForwardedRequest {
  // Chosen by the caller, one for each of its own attempts.
  std::string id;
  std::string method;
  // Path and query, unchanged.
  std::string target;
  std::string host;
  // Without fields that concern one connection.
  HeaderFields headers;
  std::shared_ptr<const std::string> body;
  // How long the caller said it waits.
  std::optional<Duration> deadline;
  TimePoint received{};
};

using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

// The answer to a caller's request.
struct CallerAnswer {
  // Set for an answer of the tier's own; the other fields then only add to it.
  std::optional<ErrorKind> error;
  // Why the tier answered itself, for the log and the caller.
  std::string reason;
  // When a request that has not run may be sent again.
  std::optional<Duration> retry_after;
  // Those of the searcher's reply when a reply is passed on unchanged.
  int status = 0;
  HeaderFields headers;
  std::string body;
  // Set for a merged answer: proofs of the parts it contains, and the number of
  // shards that are left out.
  std::vector<std::string> part_proofs;
  int missing_parts = 0;
};

}  // namespace jujubecove

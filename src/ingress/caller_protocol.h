#pragma once

#include <string>

#include "base/result.h"
#include "dispatch/forwarded_request.h"

namespace jujubecove {

// A caller's request as it was read, with all its header fields.
struct IngressRequest {
  std::string method;
  std::string target;
  HeaderFields headers;
  std::string body;
};

// What is written back.
struct IngressAnswer {
  int status = 0;
  HeaderFields headers;
  std::string body;
};

// How requests and answers look on a caller's connection.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Fails for a request without an id or a host.
  virtual Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                                 TimePoint received) const = 0;
  // `request_id` may be empty.
  virtual IngressAnswer EncodeAnswer(CallerAnswer answer,
                                     const std::string& request_id) const = 0;
};

}  // namespace jujubecove

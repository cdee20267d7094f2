#pragma once

#include <string>

#include "base/result.h"
#include "dispatch/forwarded_request.h"

namespace jujubecove {

// A caller's request as read from the connection, with all its header fields.
struct IngressRequest {
  std::string method;
  std::string target;
  HeaderFields headers;
  std::string body;
  // Whether the caller opened the connection for it.
  bool on_new_connection = false;
};

// The answer as it is written to the connection.
struct IngressAnswer {
  int status = 0;
  HeaderFields headers;
  std::string body;
};

// Translates between HTTP messages on a caller's connection and the requests
// and answers of the tier.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // May fail, for example if the request has no id.
  virtual Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                                 TimePoint received) const = 0;
  // `request_id` may be empty.
  virtual IngressAnswer EncodeAnswer(CallerAnswer answer,
                                     const std::string& request_id) const = 0;
};

}  // namespace jujubecove

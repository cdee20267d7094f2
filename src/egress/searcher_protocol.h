#pragma once

#include <string>

#include "dispatch/searcher_transport.h"
#include "http/client_connection.h"

namespace jujubecove {

// How requests and replies look on a searcher's connection.
class SearcherProtocol {
 public:
  virtual ~SearcherProtocol() = default;

  // Request line and header fields, up to the body. The searcher is told how
  // long its reply is waited for, and which instance is meant.
  virtual std::string EncodeHead(const ForwardedRequest& request,
                                 const InstanceId& instance,
                                 Duration remaining) const = 0;
  // Whether the reply belongs to this request.
  virtual bool IsReplyTo(const WireReply& reply,
                         const ForwardedRequest& request) const = 0;
  virtual AttemptReply DecodeReply(WireReply reply) const = 0;
};

}  // namespace jujubecove

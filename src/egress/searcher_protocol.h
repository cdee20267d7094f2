#pragma once

#include <cstdint>
#include <string>

#include "dispatch/searcher_transport.h"
#include "http/client_connection.h"

namespace jujubecove {

// Which request a reply belongs to, by the id that it repeats.
enum class ReplyOwner : std::uint8_t {
  kThisRequest,
  kOtherRequest,
  // It has no id, or more than one.
  kUnidentified,
};

// Translates between the tier's requests and replies and HTTP messages on a
// searcher's connection.
class SearcherProtocol {
 public:
  virtual ~SearcherProtocol() = default;

  // Returns the request line and header fields, up to the body. They tell the
  // searcher the remaining time and the instance that is addressed.
  virtual std::string EncodeHead(const ForwardedRequest& request,
                                 const InstanceId& instance,
                                 Duration remaining) const = 0;
  virtual ReplyOwner OwnerOf(const WireReply& reply,
                             const ForwardedRequest& request) const = 0;
  virtual AttemptReply DecodeReply(WireReply reply) const = 0;
};

}  // namespace jujubecove

#pragma once

#include "egress/searcher_protocol.h"
#include "ingress/caller_protocol.h"

namespace jujubecove::platform {

// Decodes callers' requests and encodes answers in the platform's format.
class PlatformCallerProtocol : public CallerProtocol {
 public:
  Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                         TimePoint received) const override;
  IngressAnswer EncodeAnswer(CallerAnswer answer,
                             const std::string& request_id) const override;
};

// Encodes requests to searchers and decodes replies in the platform's format.
class PlatformSearcherProtocol : public SearcherProtocol {
 public:
  std::string EncodeHead(const ForwardedRequest& request,
                         const InstanceId& instance,
                         Duration remaining) const override;
  ReplyOwner OwnerOf(const WireReply& reply,
                     const ForwardedRequest& request) const override;
  AttemptReply DecodeReply(WireReply reply) const override;
};

}  // namespace jujubecove::platform

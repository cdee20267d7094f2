#pragma once

#include <optional>
#include <string>

#include "egress/searcher_protocol.h"
#include "handover/load_report.h"
#include "ingress/caller_protocol.h"

namespace jujubecove {

// The HTTP messages by which entry daemons hand queries over: the caller's
// request and the answer as they are, with fields for what else belongs to
// them.

// Why a daemon refuses to take over a query, which then has not run.
enum class TakeoverRefusal : std::uint8_t { kBusy, kDraining, kConfiguration };
std::string_view NameOf(TakeoverRefusal reason);

// The request to send for a query. Drops the caller's fields with names of this
// protocol. The way back counts as time that has passed, so that the answer is
// here when it would be ready without the hand-over.
ForwardedRequestPtr ToHandoverRequest(const ForwardedRequest& request,
                                      ConfigVersion version,
                                      Duration way_back,
                                      TimePoint now);
// Removes the version of the sender's configuration from a query that was
// received. Nothing if there is none.
std::optional<ConfigVersion> TakeVersion(ForwardedRequest& request);

// Marks the answer of a query that ran, `ran` being the time that it took.
void MarkAnswered(CallerAnswer& answer, const LoadReport& report, Duration ran);
CallerAnswer RefuseTakeover(TakeoverRefusal reason, const LoadReport& report);

// What a daemon replied to a query that was handed over.
struct HandoverReply {
  CallerAnswer answer;
  LoadReport report;
  Duration ran{};
  // Set if it refused.
  std::string refusal;
};
HandoverReply ToHandoverReply(AttemptReply reply, const std::string& route);

// At the daemon that receives queries.
class TakeoverProtocol : public CallerProtocol {
 public:
  Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                         TimePoint received) const override;
  IngressAnswer EncodeAnswer(CallerAnswer answer,
                             const std::string& request_id) const override;
};

// At the daemon that sends them. A daemon is addressed like a searcher.
class HandoverProtocol : public SearcherProtocol {
 public:
  std::string EncodeHead(const ForwardedRequest& request,
                         const InstanceId& instance,
                         Duration remaining) const override;
  ReplyOwner OwnerOf(const WireReply& reply,
                     const ForwardedRequest& request) const override;
  AttemptReply DecodeReply(WireReply reply) const override;
};

}  // namespace jujubecove

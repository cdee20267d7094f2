#include "platform/http_protocol.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>

#include "platform/wire_names.h"

namespace jujubecove::platform {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// Longer than any request takes. Larger deadlines are reduced to it.
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
// Longer values of Retry-After are reduced to it, so that a faulty searcher is
// not lost for good.
constexpr double kMaxRetryAfterSeconds = 600.0;
// The fourth figure of a load is a percentage.
constexpr double kUsualSpeed = 100.0;
// Larger figures are not a load.
constexpr std::int64_t kMaxReportedLoad = 1'000'000;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

// Parses a decimal integer that takes up the whole text. One that is out of
// range becomes `min` or `max`.
std::optional<std::int64_t> ParseClamped(std::string_view text,
                                         std::int64_t min,
                                         std::int64_t max) {
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  if (text.empty() || end != last || error == std::errc::invalid_argument)
    return std::nullopt;
  if (error == std::errc::result_out_of_range)
    return text.front() == '-' ? min : max;
  return std::clamp(value, min, max);
}

// Parses seconds with or without a fraction, without sign or exponent.
std::optional<Duration> ParseSeconds(std::string_view text) {
  text = Trim(text);
  double seconds = 0.0;
  const char* last = text.data() + text.size();
  auto [end, error] =
      std::from_chars(text.data(), last, seconds, std::chars_format::fixed);
  if (text.empty() || end != last ||
      std::isdigit(static_cast<unsigned char>(text.front())) == 0)
    return std::nullopt;
  if (error == std::errc::result_out_of_range)
    seconds = kMaxRetryAfterSeconds;
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxRetryAfterSeconds)));
}

std::optional<ReportedLoad> ParseLoad(std::string_view text) {
  ReportedLoad load;
  for (int* field : {&load.running, &load.waiting, &load.slots}) {
    std::size_t comma = text.find(',');
    std::optional<std::int64_t> value =
        ParseClamped(Trim(text.substr(0, comma)), -1, kMaxReportedLoad + 1);
    if (!value || *value < 0 || *value > kMaxReportedLoad)
      return std::nullopt;
    *field = static_cast<int>(*value);
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  std::optional<std::int64_t> percent =
      ParseClamped(Trim(text.substr(0, text.find(','))), 0, kMaxReportedLoad);
  if (percent && *percent > 0)
    load.slowdown = static_cast<double>(*percent) / kUsualSpeed;
  return load;
}

// Whether the tier sets this field itself on requests to searchers.
bool IsSetByTier(std::string_view name) {
  return SameHeaderName(name, kDeadlineMs) ||
         SameHeaderName(name, kExpectInstance) || SameHeaderName(name, "Host");
}

void AddField(std::string& head,
              std::string_view name,
              std::string_view value) {
  head += name;
  head += ": ";
  head += value;
  head += "\r\n";
}

IngressAnswer EncodeError(const CallerAnswer& answer,
                          const std::string& request_id) {
  IngressAnswer out;
  out.status = AnswerOf(*answer.error).http_status;
  out.headers.push_back({"Content-Type", "text/plain"});
  if (!request_id.empty())
    out.headers.push_back({kRequestId, request_id});
  if (answer.retry_after) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f",
                  ToMilliseconds(*answer.retry_after) / 1000.0);
    out.headers.push_back({kRetryAfter, buf.data()});
  }
  if (answer.error == ErrorKind::kUnauthenticated)
    out.headers.push_back({"WWW-Authenticate", kApiKeyScheme});
  out.body = std::string(NameOf(*answer.error)) + ": " + answer.reason + "\n";
  return out;
}

}  // namespace

Result<ForwardedRequest> PlatformCallerProtocol::DecodeRequest(
    IngressRequest request,
    TimePoint received) const {
  ForwardedRequest out;
  out.id = FindHeader(request.headers, kRequestId);
  out.host = FindHeader(request.headers, "Host");
  if (out.id.empty())
    return Error{ErrorKind::kBadRequest, "the request has no id"};
  std::string_view deadline = Trim(FindHeader(request.headers, kDeadlineMs));
  if (std::optional<std::int64_t> ms =
          ParseClamped(deadline, 0, kMaxDeadlineMs))
    out.deadline = std::chrono::milliseconds(*ms);
  out.method = std::move(request.method);
  out.target = std::move(request.target);
  out.headers = std::move(request.headers);
  RemoveHopByHopFields(out.headers);
  std::erase_if(out.headers,
                [](const HeaderField& it) { return IsSetByTier(it.name); });
  if (!request.body.empty())
    out.body = std::make_shared<const std::string>(std::move(request.body));
  out.received = received;
  out.on_new_connection = request.on_new_connection;
  return out;
}

IngressAnswer PlatformCallerProtocol::EncodeAnswer(
    CallerAnswer answer,
    const std::string& request_id) const {
  if (answer.error)
    return EncodeError(answer, request_id);
  IngressAnswer out;
  out.status = answer.status;
  out.headers = std::move(answer.headers);
  out.body = std::move(answer.body);
  if (answer.part_proofs.empty())
    return out;
  out.headers.push_back({kRequestId, request_id});
  std::string proofs;
  for (const std::string& it : answer.part_proofs)
    proofs += (proofs.empty() ? "" : ", ") + it;
  out.headers.push_back({kPartStamps, std::move(proofs)});
  out.headers.push_back({kMissingParts, std::to_string(answer.missing_parts)});
  return out;
}

std::string PlatformSearcherProtocol::EncodeHead(
    const ForwardedRequest& request,
    const InstanceId& instance,
    Duration remaining) const {
  std::string head;
  head.reserve(512);
  head = request.method + " " + request.target + " HTTP/1.1\r\n";
  AddField(head, "Host", request.host);
  for (const HeaderField& it : request.headers)
    AddField(head, it.name, it.value);
  AddField(head, kDeadlineMs, std::to_string(remaining / kMillisecond));
  AddField(head, kExpectInstance, instance.value());
  if (request.workspace)
    AddField(head, kWorkspace, request.workspace->value());
  bool expects_body = request.method != "GET" && request.method != "HEAD";
  if (request.body || expects_body) {
    AddField(head, "Content-Length",
             std::to_string(request.body ? request.body->size() : 0));
  }
  head += "\r\n";
  return head;
}

ReplyOwner PlatformSearcherProtocol::OwnerOf(
    const WireReply& reply,
    const ForwardedRequest& request) const {
  int ids = 0;
  for (const HeaderField& it : reply.headers) {
    if (!SameHeaderName(it.name, kRequestId) || it.value.empty())
      continue;
    if (it.value != request.id)
      return ReplyOwner::kOtherRequest;
    ++ids;
  }
  return ids == 1 ? ReplyOwner::kThisRequest : ReplyOwner::kUnidentified;
}

AttemptReply PlatformSearcherProtocol::DecodeReply(WireReply reply) const {
  AttemptReply out;
  out.status = reply.status;
  out.proof = FindHeader(reply.headers, kResponseStamp);
  out.load = ParseLoad(FindHeader(reply.headers, kServerLoad));
  std::string_view leaving = Trim(FindHeader(reply.headers, kServerLeaving));
  out.leaving = !leaving.empty() && leaving != "0";
  if (reply.status == kServiceUnavailable)
    out.retry_after = ParseSeconds(FindHeader(reply.headers, kRetryAfter));
  bool not_run = !FindHeader(reply.headers, kNotExecuted).empty();
  bool success = reply.status >= kFirstSuccess && reply.status < kFirstRedirect;
  if (reply.status == kMisdirectedRequest) {
    out.outcome = AttemptResult::kWrongInstance;
    out.failure = "another searcher has the address";
  } else if (not_run) {
    out.outcome = AttemptResult::kRejected;
    out.failure = "refused with status " + std::to_string(reply.status);
    if (out.retry_after) {
      out.failure += ", wants no requests for " +
                     std::to_string(*out.retry_after / kMillisecond) + " ms";
    }
  } else if (!FindHeader(reply.headers, "Content-Encoding").empty()) {
    out.outcome = AttemptResult::kBroken;
    out.failure = "the body is encoded";
  } else if (out.proof.empty()) {
    out.outcome = AttemptResult::kBroken;
    out.failure = "reply without proof, status " + std::to_string(reply.status);
  } else {
    out.outcome = success ? AttemptResult::kSuccess : AttemptResult::kFailure;
    if (!success)
      out.failure = "status " + std::to_string(reply.status);
  }
  out.headers = std::move(reply.headers);
  RemoveHopByHopFields(out.headers);
  out.body = std::move(reply.body);
  return out;
}

}  // namespace jujubecove::platform

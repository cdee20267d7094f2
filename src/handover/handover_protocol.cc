#include "handover/handover_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace jujubecove {
namespace {

constexpr char kPrefix[] = "Jujubecove-Handover-";
// Of a request.
constexpr char kId[] = "Jujubecove-Handover-Id";
constexpr char kElapsedUs[] = "Jujubecove-Handover-Elapsed-Us";
constexpr char kDeadlineUs[] = "Jujubecove-Handover-Deadline-Us";
constexpr char kNewConnection[] = "Jujubecove-Handover-New-Connection";
constexpr char kWorkspace[] = "Jujubecove-Handover-Workspace";
// Of a request, and of a reply: the configuration in force.
constexpr char kVersion[] = "Jujubecove-Handover-Config";
// Of a reply. The first one is on each reply of a daemon that read the request.
constexpr char kOutcome[] = "Jujubecove-Handover-Outcome";
constexpr char kError[] = "Jujubecove-Handover-Error";
constexpr char kReason[] = "Jujubecove-Handover-Reason";
constexpr char kRetryAfterUs[] = "Jujubecove-Handover-Retry-After-Us";
constexpr char kProofs[] = "Jujubecove-Handover-Proofs";
constexpr char kMissing[] = "Jujubecove-Handover-Missing";
constexpr char kRanUs[] = "Jujubecove-Handover-Ran-Us";
constexpr char kTimeUs[] = "Jujubecove-Handover-Time-Us";
constexpr char kDraining[] = "Jujubecove-Handover-Draining";

constexpr char kAnswered[] = "answered";
constexpr char kRefused[] = "refused";
constexpr char kSeparator[] = ", ";
constexpr int kRefusalStatus = 503;
// Longer than any request takes.
constexpr std::int64_t kMaxUs = 24LL * 3600 * 1'000'000;

bool IsOfProtocol(const HeaderField& field) {
  std::string_view name = field.name;
  constexpr std::size_t kSize = sizeof kPrefix - 1;
  return name.size() > kSize && SameHeaderName(name.substr(0, kSize), kPrefix);
}

void RemoveFieldsOfProtocol(HeaderFields& fields) {
  std::erase_if(fields, IsOfProtocol);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, Number max) {
  Number value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  if (text.empty() || end != last || error != std::errc{} || value < 0 ||
      value > max)
    return std::nullopt;
  return value;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  std::optional<std::int64_t> us = ParseNumber(text, kMaxUs);
  return us ? std::optional<Duration>(Duration(*us)) : std::nullopt;
}

std::string ToText(Duration duration) {
  return std::to_string(std::clamp<std::int64_t>(duration.count(), 0, kMaxUs));
}

// A reason may quote what a searcher sent.
std::string OnOneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' '; }, ' ');
  return text;
}

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  for (int n = 0; n < kErrorKindCount; ++n) {
    if (NameOf(static_cast<ErrorKind>(n)) == name)
      return static_cast<ErrorKind>(n);
  }
  return std::nullopt;
}

std::vector<std::string> SplitProofs(std::string_view text) {
  std::vector<std::string> proofs;
  constexpr std::size_t kSize = sizeof kSeparator - 1;
  while (!text.empty()) {
    std::size_t end = text.find(kSeparator);
    proofs.emplace_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size()
                                                     : end + kSize);
  }
  return proofs;
}

void AddReport(HeaderFields& fields, const LoadReport& report) {
  fields.push_back({kVersion, std::to_string(report.version.value())});
  if (report.draining)
    fields.push_back({kDraining, "1"});
  for (const auto& [route, time] : report.route_times)
    fields.push_back({kTimeUs, ToText(time)});
}

LoadReport ParseReport(const HeaderFields& fields, const std::string& route) {
  LoadReport report;
  report.version = ConfigVersion(
      ParseNumber<std::uint64_t>(FindHeader(fields, kVersion), UINT64_MAX)
          .value_or(0));
  report.draining = !FindHeader(fields, kDraining).empty();
  if (std::optional<Duration> time = ParseDuration(FindHeader(fields, kTimeUs)))
    report.route_times[route] = *time;
  return report;
}

}  // namespace

std::string_view NameOf(TakeoverRefusal reason) {
  static constexpr std::array<std::string_view, 3> kNames = {"busy", "draining",
                                                             "configuration"};
  return kNames[static_cast<std::size_t>(reason)];
}

ForwardedRequestPtr ToHandoverRequest(const ForwardedRequest& request,
                                      ConfigVersion version,
                                      Duration way_back,
                                      TimePoint now) {
  auto out = std::make_shared<ForwardedRequest>(request);
  RemoveFieldsOfProtocol(out->headers);
  out->headers.push_back({kId, request.id});
  out->headers.push_back({kVersion, std::to_string(version.value())});
  out->headers.push_back(
      {kElapsedUs, ToText(now - request.received + way_back)});
  if (request.deadline)
    out->headers.push_back({kDeadlineUs, ToText(*request.deadline)});
  if (request.on_new_connection)
    out->headers.push_back({kNewConnection, "1"});
  if (request.workspace)
    out->headers.push_back({kWorkspace, request.workspace->value()});
  return out;
}

std::optional<ConfigVersion> TakeVersion(ForwardedRequest& request) {
  std::optional<std::uint64_t> version = ParseNumber<std::uint64_t>(
      FindHeader(request.headers, kVersion), UINT64_MAX);
  RemoveFieldsOfProtocol(request.headers);
  return version ? std::optional<ConfigVersion>(ConfigVersion(*version))
                 : std::nullopt;
}

void MarkAnswered(CallerAnswer& answer,
                  const LoadReport& report,
                  Duration ran) {
  RemoveFieldsOfProtocol(answer.headers);
  answer.headers.push_back({kOutcome, kAnswered});
  answer.headers.push_back({kRanUs, ToText(ran)});
  AddReport(answer.headers, report);
}

CallerAnswer RefuseTakeover(TakeoverRefusal reason, const LoadReport& report) {
  CallerAnswer answer;
  answer.status = kRefusalStatus;
  answer.headers.push_back({kOutcome, kRefused});
  answer.headers.push_back({kReason, std::string(NameOf(reason))});
  AddReport(answer.headers, report);
  return answer;
}

HandoverReply ToHandoverReply(AttemptReply reply, const std::string& route) {
  HandoverReply out;
  const HeaderFields& fields = reply.headers;
  out.report = ParseReport(fields, route);
  out.ran = ParseDuration(FindHeader(fields, kRanUs)).value_or(Duration(0));
  if (reply.outcome == AttemptResult::kRejected)
    out.refusal = reply.failure;
  CallerAnswer& answer = out.answer;
  answer.error = ParseErrorKind(FindHeader(fields, kError));
  if (answer.error)
    answer.reason = FindHeader(fields, kReason);
  answer.retry_after = ParseDuration(FindHeader(fields, kRetryAfterUs));
  answer.status = reply.status;
  answer.part_proofs = SplitProofs(FindHeader(fields, kProofs));
  answer.missing_parts =
      ParseNumber<int>(FindHeader(fields, kMissing), INT32_MAX).value_or(0);
  answer.headers = std::move(reply.headers);
  RemoveFieldsOfProtocol(answer.headers);
  answer.body = std::move(reply.body);
  return out;
}

Result<ForwardedRequest> TakeoverProtocol::DecodeRequest(
    IngressRequest request,
    TimePoint received) const {
  ForwardedRequest out;
  out.id = FindHeader(request.headers, kId);
  out.host = FindHeader(request.headers, "Host");
  std::optional<Duration> elapsed =
      ParseDuration(FindHeader(request.headers, kElapsedUs));
  if (out.id.empty() || !elapsed)
    return Error{ErrorKind::kBadRequest, "not a query of an entry daemon"};
  out.received = received - *elapsed;
  out.deadline = ParseDuration(FindHeader(request.headers, kDeadlineUs));
  out.on_new_connection = !FindHeader(request.headers, kNewConnection).empty();
  std::string_view workspace = FindHeader(request.headers, kWorkspace);
  if (!workspace.empty())
    out.workspace = WorkspaceName(std::string(workspace));
  out.method = std::move(request.method);
  out.target = std::move(request.target);
  out.headers = std::move(request.headers);
  RemoveHopByHopFields(out.headers);
  std::erase_if(out.headers, [](const HeaderField& it) {
    return SameHeaderName(it.name, "Host");
  });
  if (!request.body.empty())
    out.body = std::make_shared<const std::string>(std::move(request.body));
  return out;
}

IngressAnswer TakeoverProtocol::EncodeAnswer(
    CallerAnswer answer,
    const std::string& request_id) const {
  IngressAnswer out;
  out.status =
      answer.error ? AnswerOf(*answer.error).http_status : answer.status;
  out.headers = std::move(answer.headers);
  out.headers.push_back({kId, request_id});
  if (answer.error) {
    out.headers.push_back({kError, std::string(NameOf(*answer.error))});
    out.headers.push_back({kReason, OnOneLine(std::move(answer.reason))});
  }
  if (answer.retry_after)
    out.headers.push_back({kRetryAfterUs, ToText(*answer.retry_after)});
  std::string proofs;
  for (const std::string& it : answer.part_proofs)
    proofs += (proofs.empty() ? "" : kSeparator) + it;
  if (!proofs.empty())
    out.headers.push_back({kProofs, std::move(proofs)});
  if (answer.missing_parts > 0)
    out.headers.push_back({kMissing, std::to_string(answer.missing_parts)});
  out.body = std::move(answer.body);
  return out;
}

std::string HandoverProtocol::EncodeHead(const ForwardedRequest& request,
                                         const InstanceId&,
                                         Duration) const {
  std::string head;
  head.reserve(512);
  head = request.method + " " + request.target + " HTTP/1.1\r\nHost: ";
  head += request.host + "\r\n";
  for (const HeaderField& it : request.headers)
    head += it.name + ": " + it.value + "\r\n";
  if (request.body)
    head += "Content-Length: " + std::to_string(request.body->size()) + "\r\n";
  head += "\r\n";
  return head;
}

ReplyOwner HandoverProtocol::OwnerOf(const WireReply& reply,
                                     const ForwardedRequest& request) const {
  std::string_view id = FindHeader(reply.headers, kId);
  if (id.empty())
    return ReplyOwner::kUnidentified;
  return id == request.id ? ReplyOwner::kThisRequest
                          : ReplyOwner::kOtherRequest;
}

// A reply that a daemon gives to a request which it could not read bears an
// error but no outcome. Such a request has not run.
AttemptReply HandoverProtocol::DecodeReply(WireReply reply) const {
  AttemptReply out;
  out.status = reply.status;
  std::string_view outcome = FindHeader(reply.headers, kOutcome);
  bool unread = outcome.empty() && !FindHeader(reply.headers, kError).empty();
  if (outcome == kAnswered) {
    out.outcome = AttemptResult::kSuccess;
  } else if (outcome == kRefused || unread) {
    out.outcome = AttemptResult::kRejected;
    out.failure = FindHeader(reply.headers, kReason);
  } else {
    out.outcome = AttemptResult::kBroken;
    out.failure = "not a reply of an entry daemon";
  }
  out.headers = std::move(reply.headers);
  RemoveHopByHopFields(out.headers);
  out.body = std::move(reply.body);
  return out;
}

}  // namespace jujubecove

#include "upstream/request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#include "upstream/wire.h"

namespace jujubecove {
namespace {

constexpr std::string_view kVersionAndHost = " HTTP/1.1\r\nHost: ";
constexpr std::string_view kLineEnd = "\r\n";

void AppendNumber(std::string& out, std::uint64_t number, int base = 10) {
  std::array<char, 24> digits;
  std::to_chars_result result =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
  out.append(digits.data(), result.ptr);
}

void AppendName(std::string& out, std::string_view name) {
  out.append(name).append(": ");
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value) {
  AppendName(out, name);
  out.append(value).append(kLineEnd);
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::uint64_t value) {
  AppendName(out, name);
  AppendNumber(out, value);
  out.append(kLineEnd);
}

bool IsValidHeaderValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), [](char c) {
    return static_cast<unsigned char>(c) >= ' ' && c != '\x7f';
  });
}

}  // namespace

void FormatAttempt(IncarnationId incarnation,
                   RequestId request,
                   AttemptId attempt,
                   std::string& out) {
  out.clear();
  AppendNumber(out, incarnation.value(), 16);
  out.push_back('-');
  AppendNumber(out, request.value());
  out.push_back('-');
  AppendNumber(out, attempt.value());
}

bool HasValidHeaderValues(const UpstreamRequest& request) {
  return IsValidHeaderValue(request.kind.value()) &&
         IsValidHeaderValue(request.shard.value()) &&
         IsValidHeaderValue(request.idempotency_key) &&
         IsValidHeaderValue(request.traceparent);
}

void FormatExecuteHead(const UpstreamRequest& request,
                       std::string_view attempt,
                       Duration remaining,
                       std::string& out) {
  out.assign("POST ").append(wire::kExecutePath).append(kVersionAndHost);
  out.append(request.searcher.value()).append(kLineEnd);
  AppendHeader(out, wire::kAttemptHeader, attempt);
  AppendHeader(out, wire::kKindHeader, request.kind.value());
  AppendHeader(out, wire::kShardHeader, request.shard.value());
  AppendHeader(out, wire::kShardMapHeader, request.map_version.value());
  if (request.index_version)
    AppendHeader(out, wire::kIndexVersionHeader,
                 request.index_version->value());
  std::int64_t left = std::max<std::int64_t>(remaining.count() / 1000, 0);
  AppendHeader(out, wire::kDeadlineHeader, static_cast<std::uint64_t>(left));
  if (!request.idempotency_key.empty())
    AppendHeader(out, wire::kIdempotencyKeyHeader, request.idempotency_key);
  if (!request.traceparent.empty())
    AppendHeader(out, wire::kTraceparentHeader, request.traceparent);
  AppendHeader(out, "Content-Length",
               request.body ? request.body->size() : std::uint64_t{0});
  out.append(kLineEnd);
}

void FormatGet(std::string_view host, std::string_view path, std::string& out) {
  out.assign("GET ").append(path).append(kVersionAndHost).append(host);
  out.append(kLineEnd).append(kLineEnd);
}

void FormatCancel(std::string_view host,
                  std::string_view attempt,
                  std::string& out) {
  out.assign("POST ").append(wire::kCancelPath).append(kVersionAndHost);
  out.append(host).append(kLineEnd);
  AppendHeader(out, wire::kAttemptHeader, attempt);
  AppendHeader(out, "Content-Length", std::uint64_t{0});
  out.append(kLineEnd);
}

}  // namespace jujubecove

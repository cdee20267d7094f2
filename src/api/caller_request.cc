#include "api/caller_request.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/outcome/try.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace jujubecove {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kQueryPrefix = "/v1/query/";
constexpr std::size_t kMaxKindBytes = 64;
constexpr int kHttp10 = 10;

struct EndpointSpec {
  std::string_view path;
  Endpoint endpoint;
  http::verb method;
};

// A path that ends in '/' is a prefix.
constexpr std::array<EndpointSpec, kEndpointCount> kEndpoints = {{
    {kQueryPrefix, Endpoint::kQuery, http::verb::post},
    {"/v1/tickets", Endpoint::kTickets, http::verb::post},
    {"/healthz", Endpoint::kHealth, http::verb::get},
    {"/readyz", Endpoint::kReady, http::verb::get},
    {"/metrics", Endpoint::kMetrics, http::verb::get},
    {"/v1/status", Endpoint::kStatus, http::verb::get},
}};

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

const EndpointSpec* FindEndpoint(std::string_view path) {
  auto it = std::find_if(
      kEndpoints.begin(), kEndpoints.end(), [path](const EndpointSpec& spec) {
        return spec.path.back() == '/' ? path.starts_with(spec.path)
                                       : path == spec.path;
      });
  return it == kEndpoints.end() ? nullptr : &*it;
}

bool IsValidKindName(std::string_view name) {
  if (name.empty() || name.size() > kMaxKindBytes)
    return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

Error BadRequest(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

std::optional<std::uint64_t> ParseCount(std::string_view text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  if (text.empty() || error != std::errc() || end != last)
    return std::nullopt;
  return value;
}

// Returns the value of a field that may occur once, or an empty string if it is
// absent.
Result<std::string> SingleField(const RequestHeader& header,
                                const char* name,
                                std::size_t max_bytes) {
  std::size_t count = header.count(name);
  if (count == 0)
    return std::string();
  if (count > 1)
    return BadRequest(std::string(name) + " is given more than once");
  std::string value(header[name]);
  if (value.empty())
    return BadRequest(std::string(name) + " is empty");
  if (value.size() > max_bytes)
    return BadRequest(std::string(name) + " is longer than " +
                      std::to_string(max_bytes) + " bytes");
  return value;
}

// Checks HTTP requirements that Beast's parser does not check.
std::optional<Error> ValidateHeader(const RequestHeader& header) {
  std::size_t hosts = header.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && header.version() > kHttp10))
    return BadRequest("exactly one Host field is needed");
  std::size_t encodings = header.count(http::field::transfer_encoding);
  if (encodings > 1 || (encodings == 1 &&
                        !boost::beast::iequals(
                            header[http::field::transfer_encoding], "chunked")))
    return BadRequest("the only accepted Transfer-Encoding is chunked");
  if (encodings == 1 && header.version() <= kHttp10)
    return BadRequest("Transfer-Encoding needs HTTP/1.1");
  if (header.count(http::field::expect) > 0 &&
      !boost::beast::iequals(header[http::field::expect], "100-continue"))
    return BadRequest("the only accepted Expect is 100-continue");
  return std::nullopt;
}

Result<CallerRequest> ParseQuery(const RequestHeader& header,
                                 std::string_view path) {
  CallerRequest request;
  request.endpoint = Endpoint::kQuery;
  std::string_view kind = path.substr(kQueryPrefix.size());
  if (!IsValidKindName(kind))
    return Error{ErrorKind::kUnknownKind,
                 "the path does not end in the name of a kind"};
  request.query.kind = KindName(std::string(kind));
  BOOST_OUTCOME_TRY(std::string caller,
                    SingleField(header, kCallerHeader, kMaxCallerBytes));
  request.query.caller = CallerName(std::move(caller));
  BOOST_OUTCOME_TRY(request.query.key,
                    SingleField(header, kKeyHeader, kMaxKeyBytes));
  BOOST_OUTCOME_TRY(
      request.query.idempotency_key,
      SingleField(header, kIdempotencyHeader, kMaxIdempotencyKeyBytes));
  BOOST_OUTCOME_TRY(std::string deadline,
                    SingleField(header, kDeadlineHeader, kMaxKeyBytes));
  if (!deadline.empty()) {
    std::optional<std::uint64_t> value = ParseCount(deadline);
    if (!value || *value == 0 || *value > kMaxDeadlineMs)
      return BadRequest(std::string(kDeadlineHeader) +
                        " must be an integer from 1 to " +
                        std::to_string(kMaxDeadlineMs));
    request.query.deadline = std::chrono::milliseconds(*value);
  }
  // The Trace Context specification says to ignore an invalid traceparent; more
  // than one is invalid.
  if (header.count(kTraceparentHeader) == 1)
    request.query.traceparent = std::string(header[kTraceparentHeader]);
  return request;
}

Result<CallerRequest> ParseTickets(std::string_view target) {
  CallerRequest request;
  request.endpoint = Endpoint::kTickets;
  request.ticket_count = 1;
  std::size_t question = target.find('?');
  if (question == std::string_view::npos)
    return request;
  std::string_view query = target.substr(question + 1);
  constexpr std::string_view kCountParameter = "count=";
  std::optional<std::uint64_t> count;
  if (query.starts_with(kCountParameter))
    count = ParseCount(query.substr(kCountParameter.size()));
  if (!count || *count == 0 || *count > kMaxTicketsPerRequest)
    return BadRequest("the only accepted parameter is count=N, from 1 to " +
                      std::to_string(kMaxTicketsPerRequest));
  request.ticket_count = static_cast<std::size_t>(*count);
  return request;
}

}  // namespace

std::string_view NameOf(Endpoint endpoint) {
  constexpr std::array<std::string_view, kEndpointCount> kNames = {
      "query", "tickets", "healthz", "readyz", "metrics", "status"};
  return kNames[static_cast<std::size_t>(endpoint)];
}

Result<CallerRequest> ParseCallerRequest(const RequestHeader& header) {
  if (std::optional<Error> error = ValidateHeader(header))
    return *error;
  std::string_view target(header.target().data(), header.target().size());
  std::string_view path = PathOf(target);
  const EndpointSpec* spec = FindEndpoint(path);
  if (spec == nullptr)
    return Error{ErrorKind::kNotFound, "no such path"};
  if (header.method() != spec->method)
    return Error{ErrorKind::kMethodNotAllowed,
                 "the path accepts " + AllowedMethods(target)};
  if (spec->endpoint == Endpoint::kQuery)
    return ParseQuery(header, path);
  if (spec->endpoint == Endpoint::kTickets)
    return ParseTickets(target);
  CallerRequest request;
  request.endpoint = spec->endpoint;
  return request;
}

std::string AllowedMethods(std::string_view target) {
  const EndpointSpec* spec = FindEndpoint(PathOf(target));
  if (spec == nullptr)
    return "";
  boost::beast::string_view name = http::to_string(spec->method);
  return std::string(name.data(), name.size());
}

}  // namespace jujubecove

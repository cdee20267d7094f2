#include "upstream/reply_reader.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <string_view>
#include <system_error>

#include "upstream/wire.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;

// Limits the memory that a stated Content-Length allocates before the body has
// arrived.
constexpr std::uint64_t kMaxBodyReserve = 65'536;

template <typename Number>
bool ParseNumber(std::string_view text, std::optional<Number>& number) {
  Number value = 0;
  std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size())
    return false;
  number = value;
  return true;
}

// "<in flight>/<slots>"
bool ParseLoad(std::string_view text, std::optional<std::uint32_t>& in_flight) {
  std::size_t slash = text.find('/');
  std::optional<std::uint32_t> slots;
  return slash != std::string_view::npos &&
         ParseNumber(text.substr(0, slash), in_flight) &&
         ParseNumber(text.substr(slash + 1), slots);
}

bool Assign(std::string_view text, std::string& target) {
  target.assign(text);
  return !text.empty();
}

// Parses one protocol header into the reply. Returns false if it is malformed.
struct HeaderRule {
  std::string_view name;
  bool (*read)(std::string_view value, ParsedReply& reply);
};

constexpr std::array<HeaderRule, 8> kHeaderRules = {{
    {wire::kAttemptHeader,
     [](std::string_view v, ParsedReply& r) { return Assign(v, r.attempt); }},
    {wire::kShardHeader,
     [](std::string_view v, ParsedReply& r) { return Assign(v, r.shard); }},
    {wire::kNotRunHeader,
     [](std::string_view v, ParsedReply& r) { return Assign(v, r.not_run); }},
    {wire::kShardMapHeader,
     [](std::string_view v, ParsedReply& r) {
       return ParseNumber(v, r.map_version);
     }},
    {wire::kIndexVersionHeader,
     [](std::string_view v, ParsedReply& r) {
       return ParseNumber(v, r.index_version);
     }},
    {wire::kReportHeader,
     [](std::string_view v, ParsedReply& r) {
       return ParseNumber(v, r.report_generation);
     }},
    {wire::kLoadHeader,
     [](std::string_view v, ParsedReply& r) {
       return ParseLoad(v, r.in_flight);
     }},
    {wire::kDrainingHeader,
     [](std::string_view v, ParsedReply& r) {
       r.draining = v == "1";
       return v == "0" || v == "1";
     }},
}};

}  // namespace

void ParsedReply::Clear() {
  status = 0;
  keep_alive = true;
  attempt.clear();
  shard.clear();
  not_run.clear();
  map_version.reset();
  index_version.reset();
  report_generation.reset();
  in_flight.reset();
  draining = false;
  body.clear();
}

void ReplyReader::Reset() {
  reply_.Clear();
  parser_.emplace(reply_);
  state_ = ReadState::kNeedMore;
  header_bytes_ = 0;
  started_ = false;
}

std::size_t ReplyReader::Feed(const char* data, std::size_t size) {
  started_ = started_ || size > 0;
  std::size_t consumed = 0;
  while (state_ == ReadState::kNeedMore && consumed < size) {
    bool in_header = !parser_->is_header_done();
    boost::beast::error_code ec;
    std::size_t n = parser_->put(
        boost::asio::const_buffer(data + consumed, size - consumed), ec);
    consumed += n;
    // The parser's own limit applies to a single call, so a header that arrives
    // in pieces is counted here.
    if (in_header && !parser_->is_header_done())
      header_bytes_ += n;
    if ((ec && ec != http::error::need_more) ||
        header_bytes_ > wire::kMaxReplyHeaderBytes) {
      state_ = ReadState::kInvalid;
    } else if (parser_->is_done()) {
      reply_.keep_alive = parser_->keep_alive();
      state_ = ReadState::kComplete;
    } else if (ec == http::error::need_more || n == 0) {
      break;
    }
  }
  return consumed;
}

ReplyReader::Parser::Parser(ParsedReply& reply) : reply_(reply) {
  header_limit(static_cast<std::uint32_t>(wire::kMaxReplyHeaderBytes));
  body_limit(wire::kMaxReplyBodyBytes);
}

void ReplyReader::Parser::on_request_impl(http::verb,
                                          View,
                                          View,
                                          int,
                                          Error& ec) {
  ec = http::error::bad_version;
}

void ReplyReader::Parser::on_response_impl(int code, View, int, Error& ec) {
  // The protocol has no interim replies; one would be taken for the final
  // reply.
  if (code < 200 || code > 599)
    ec = http::error::bad_status;
  reply_.status = static_cast<unsigned>(code);
}

void ReplyReader::Parser::on_field_impl(http::field,
                                        View name,
                                        View value,
                                        Error& ec) {
  for (std::size_t n = 0; n < kHeaderRules.size(); ++n) {
    if (!boost::beast::iequals(name, kHeaderRules[n].name))
      continue;
    std::uint32_t bit = 1U << n;
    std::string_view text(value.data(), value.size());
    if ((seen_headers_ & bit) != 0 || !kHeaderRules[n].read(text, reply_))
      ec = http::error::bad_value;
    seen_headers_ |= bit;
    return;
  }
}

void ReplyReader::Parser::on_header_impl(Error& ec) {
  // Without a length, a truncated body would look complete. Chunked replies are
  // not accepted: Beast of Boost 1.81 aborts in parse_chunk_header when the
  // last chunk arrives in pieces ("n >= 5").
  if (need_eof() || chunked())
    ec = http::error::bad_content_length;
}

void ReplyReader::Parser::on_body_init_impl(
    const boost::optional<std::uint64_t>& content_length,
    Error&) {
  if (content_length)
    reply_.body.reserve(std::min(*content_length, kMaxBodyReserve));
}

std::size_t ReplyReader::Parser::on_body_impl(View body, Error&) {
  reply_.body.append(body.data(), body.size());
  return body.size();
}

// Not reached, since on_header_impl rejects chunked replies.
void ReplyReader::Parser::on_chunk_header_impl(std::uint64_t, View, Error& ec) {
  ec = http::error::bad_transfer_encoding;
}

std::size_t ReplyReader::Parser::on_chunk_body_impl(std::uint64_t,
                                                    View,
                                                    Error& ec) {
  ec = http::error::bad_transfer_encoding;
  return 0;
}

void ReplyReader::Parser::on_finish_impl(Error&) {}

}  // namespace jujubecove

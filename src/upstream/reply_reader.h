#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubecove {

// The parts of a searcher's HTTP reply that the protocol defines.
struct ParsedReply {
  unsigned status = 0;
  // Whether the searcher keeps the connection open.
  bool keep_alive = true;
  std::string attempt;
  std::string shard;
  std::string not_run;
  std::optional<std::uint64_t> map_version;
  std::optional<std::uint64_t> index_version;
  std::optional<std::uint64_t> report_generation;
  std::optional<std::uint32_t> in_flight;
  bool draining = false;
  std::string body;

  // Keeps the capacity of the strings.
  void Clear();
};

enum class ReadState : std::uint8_t { kNeedMore, kComplete, kInvalid };

// Parses consecutive replies from the bytes of a connection. A reply is invalid
// if it has no Content-Length, exceeds the limits of wire.h, or has a repeated
// or malformed protocol header.
class ReplyReader {
 public:
  ReplyReader() { Reset(); }

  // Prepares for the next reply.
  void Reset();
  // Parses bytes of the current reply and returns how many were consumed. The
  // others must be passed again, followed by new ones.
  std::size_t Feed(const char* data, std::size_t size);
  ReadState state() const { return state_; }
  // Whether any byte of the current reply has arrived.
  bool started() const { return started_; }
  // Valid only in the state kComplete.
  ParsedReply& reply() { return reply_; }

 private:
  // Stores only the headers of the protocol, so that other headers cost no
  // allocation.
  class Parser : public boost::beast::http::basic_parser<false> {
   public:
    explicit Parser(ParsedReply& reply);

   private:
    using Error = boost::beast::error_code;
    using View = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method,
                         View method_str,
                         View target,
                         int version,
                         Error& ec) override;
    void on_response_impl(int code,
                          View reason,
                          int version,
                          Error& ec) override;
    void on_field_impl(boost::beast::http::field name,
                       View name_string,
                       View value,
                       Error& ec) override;
    void on_header_impl(Error& ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& content_length,
                           Error& ec) override;
    std::size_t on_body_impl(View body, Error& ec) override;
    void on_chunk_header_impl(std::uint64_t size,
                              View extensions,
                              Error& ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain,
                                   View body,
                                   Error& ec) override;
    void on_finish_impl(Error& ec) override;

    ParsedReply& reply_;
    // Protocol headers seen so far, one bit each.
    std::uint32_t seen_headers_ = 0;
  };

  std::optional<Parser> parser_;
  ParsedReply reply_;
  ReadState state_ = ReadState::kNeedMore;
  std::size_t header_bytes_ = 0;
  bool started_ = false;
};

}  // namespace jujubecove

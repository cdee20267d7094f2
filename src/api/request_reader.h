#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "api/api_limits.h"
#include "api/caller_request.h"
#include "api/error_body.h"
#include "base/result.h"

namespace jujubecove {

// Incremental parser: reads one request after another from a stream of bytes,
// independent of how the bytes are split. It uses neither sockets nor timers.
class RequestReader {
 public:
  enum class State : std::uint8_t {
    // No byte of the next request has been seen.
    kEmpty,
    kHeader,
    kBody,
    kComplete,
    kFailed,
  };

  explicit RequestReader(const ApiLimits& limits);

  // Consumes the bytes of the current request from `buf` and returns the state.
  // Bytes of later requests stay in `buf`.
  State Read(boost::beast::flat_buffer& buf);
  // Discards the current request. The next Read starts a new one.
  void Reset();

  State state() const { return state_; }
  // Size that `buf` must be able to reach for Read to make progress.
  std::size_t BufferBytes() const;

  // Valid in kBody and kComplete.
  const CallerRequest& request() const { return request_; }
  // Whether the caller waits for "100 Continue". Valid in kBody.
  bool expects_continue() const;
  bool is_keep_alive() const;
  unsigned http_version() const;
  // Valid in kComplete.
  std::string TakeBody();
  // Valid in kFailed.
  const Error& error() const { return error_; }
  TicketPresence ticket_presence() const;
  const std::string& allowed_methods() const { return allowed_methods_; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void OnHeader();
  void Fail(ErrorKind kind, std::string detail);

  ApiLimits limits_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kEmpty;
  bool header_done_ = false;
  CallerRequest request_;
  Error error_{ErrorKind::kInternal, ""};
  std::string allowed_methods_;
};

}  // namespace jujubecove

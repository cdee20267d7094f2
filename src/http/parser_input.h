#pragma once

#include <cstddef>

namespace jujubecove {

// Whether the buffered bytes may be passed to a Beast parser. Beast of Boost
// 1.81 aborts if it gets the last chunk of a chunked body in pieces of which
// fewer than 5 bytes are buffered. Every chunked body ends with at least 5
// bytes ("0", CRLF, CRLF), so waiting for them never blocks a message.
template <typename Parser>
bool CanParse(const Parser& parser, std::size_t buffered) {
  constexpr std::size_t kLastChunkBytes = 5;
  bool in_chunked_body = parser.is_header_done() && parser.chunked();
  return buffered > 0 && (!in_chunked_body || buffered >= kLastChunkBytes);
}

}  // namespace jujubecove

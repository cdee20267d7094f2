#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecove {

// Writes whole lines to a file descriptor without ever blocking: lines wait in
// a bounded buffer, and what does not fit is dropped and counted.
class LineSink {
 public:
  LineSink(int descriptor, std::size_t max_buffered)
      : descriptor_(descriptor), max_buffered_(max_buffered) {}

  // `line` has no line feed of its own.
  void Append(std::string_view line);
  // Writes as much as the reader takes now.
  void Flush();

  std::uint64_t dropped() const { return dropped_; }
  std::size_t buffered() const { return buffer_.size(); }

 private:
  int descriptor_;
  std::size_t max_buffered_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace jujubecove

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecove {

// Writes lines to a file descriptor without blocking. Lines are held in a
// bounded buffer; a line that does not fit is dropped and counted.
class LineSink {
 public:
  LineSink(int descriptor, std::size_t max_buffered_bytes)
      : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {}

  // Adds a line feed to `line`.
  void Append(std::string_view line);
  // Writes as much as possible without blocking.
  void Flush();

  std::uint64_t dropped() const { return dropped_; }
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  int descriptor_;
  std::size_t max_buffered_bytes_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace jujubecove

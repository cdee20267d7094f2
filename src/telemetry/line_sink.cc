#include "telemetry/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace jujubecove {

void LineSink::Append(std::string_view line) {
  if (buffer_.size() + line.size() + 1 > max_buffered_bytes_) {
    ++dropped_;
    return;
  }
  buffer_ += line;
  buffer_ += '\n';
}

void LineSink::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    pollfd poll_fd{descriptor_, POLLOUT, 0};
    if (poll(&poll_fd, 1, 0) <= 0 || (poll_fd.revents & POLLOUT) == 0)
      break;
    // A writable pipe accepts PIPE_BUF bytes without blocking.
    std::size_t size =
        std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
    ssize_t count = write(descriptor_, buffer_.data() + written, size);
    if (count <= 0)
      break;
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace jujubecove

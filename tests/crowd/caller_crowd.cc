#include "tests/crowd/caller_crowd.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <thread>

namespace jujubecove::crowd {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kReceiveBuffer = 4096;
// The kernel sizes the daemon's send buffers by the segments that a caller
// announces. Small ones fill up after few answers.
using MaxSegment =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
constexpr int kMaxSegment = 536;
// Rounds without any progress after which nothing more is expected.
constexpr int kQuietRounds = 50;
constexpr milliseconds kRoundPause{10};

// Calls `step` until it has returned no progress for a while.
template <typename Step>
void RunUntilQuiet(Step step) {
  for (int quiet = 0; quiet < kQuietRounds;) {
    if (step()) {
      quiet = 0;
    } else {
      ++quiet;
      std::this_thread::sleep_for(kRoundPause);
    }
  }
}

}  // namespace

void CallerCrowd::Open(const SocketAddress& address, std::size_t count) {
  tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                         address.port);
  for (std::size_t n = 0; n < count; ++n) {
    sockets_.emplace_back(context_);
    error_code ignored;
    tcp::socket& socket = sockets_.back();
    socket.open(tcp::v4(), ignored);
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
    socket.set_option(MaxSegment(kMaxSegment), ignored);
    socket.connect(endpoint, ignored);
    socket.non_blocking(true, ignored);
  }
}

void CallerCrowd::Send(const std::string& first,
                       const std::string& repeated,
                       std::size_t times) {
  std::vector<std::size_t> sent(sockets_.size(), 0);
  std::size_t total = first.size() + repeated.size() * times;
  RunUntilQuiet([&] {
    bool progress = false;
    for (std::size_t n = 0; n < sockets_.size(); ++n) {
      if (sent[n] == total)
        continue;
      std::string_view rest =
          sent[n] < first.size()
              ? std::string_view{first}.substr(sent[n])
              : std::string_view{repeated}.substr((sent[n] - first.size()) %
                                                  repeated.size());
      error_code ec;
      std::size_t size = sockets_[n].write_some(
          boost::asio::buffer(rest.data(), rest.size()), ec);
      sent[n] =
          ec && ec != boost::asio::error::would_block ? total : sent[n] + size;
      progress = progress || size > 0;
    }
    return progress;
  });
}

void CallerCrowd::ShutDownSending() {
  error_code ignored;
  for (tcp::socket& it : sockets_)
    it.shutdown(tcp::socket::shutdown_send, ignored);
}

std::size_t CallerCrowd::CountReceived(const std::string& text) {
  std::vector<std::string> received(sockets_.size());
  RunUntilQuiet([&] {
    bool progress = false;
    for (std::size_t n = 0; n < sockets_.size(); ++n) {
      std::array<char, 4096> buf{};
      error_code ec;
      std::size_t size = sockets_[n].read_some(boost::asio::buffer(buf), ec);
      received[n].append(buf.data(), size);
      progress = progress || size > 0;
    }
    return progress;
  });
  return static_cast<std::size_t>(std::count_if(
      received.begin(), received.end(), [&text](const std::string& it) {
        return it.find(text) != std::string::npos;
      }));
}

}  // namespace jujubecove::crowd

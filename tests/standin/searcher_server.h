#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "tests/standin/searcher_model.h"

namespace jujubecove::standin {

struct SearcherCounters {
  // Execute requests that were read, whatever their outcome.
  std::uint64_t arrived = 0;
  std::uint64_t executed = 0;
  std::uint64_t refused = 0;
  std::uint64_t accepted = 0;
  std::size_t connections = 0;
  std::size_t max_connections = 0;
  // Connections that were closed on accept because of the connection limit.
  std::uint64_t over_limit = 0;
  // Requests that arrived while draining, and the time of the last one since
  // draining started.
  std::uint64_t arrived_draining = 0;
  Duration last_arrival_after_drain{};
};

// Serves one SearcherModel over HTTP on one thread.
class SearcherServer {
 public:
  SearcherServer(boost::asio::io_context& context,
                 AsioTimerService& timers,
                 const boost::asio::ip::tcp::endpoint& endpoint,
                 std::unique_ptr<SearcherModel> model);
  ~SearcherServer();

  SearcherModel& model() { return *model_; }
  void SetFaults(const SearcherFaults& faults);
  // Keeps the open connections open but never answers on them again.
  void SilenceOpenConnections();
  SearcherCounters counters() const;

 private:
  class Session;
  friend class Session;

  void Accept();
  void OnAccept(boost::asio::ip::tcp::socket socket);
  void CountArrival();

  boost::asio::io_context& context_;
  AsioTimerService& timers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unique_ptr<SearcherModel> model_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::vector<std::shared_ptr<Session>> silenced_sessions_;
  SearcherCounters counters_;
  std::optional<TimePoint> drain_started_;
};

}  // namespace jujubecove::standin

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/searcher_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// A request that a searcher started to execute.
struct SearcherRun {
  std::string searcher;
  std::string service;
  std::string request_id;
  std::string method;
  std::string target;
  std::string body;
  // As the searcher was told; empty if it was not.
  std::string workspace;
  std::string authorization;
};

// A searcher with the platform's HTTP protocol on the loopback address. It
// answers every request after its service time with records that contain its
// id.
class PlatformSearcher {
 public:
  PlatformSearcher(boost::asio::io_context& context,
                   TimerService& timers,
                   std::string service,
                   std::string id,
                   std::uint16_t port);
  ~PlatformSearcher() { Crash(); }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // The value and the key of its registration in the store.
  std::string Registration(SearcherState state) const;
  std::string Key() const;
  void set_service_time(Duration time) { state_->service_time = time; }
  // While set, every request is refused as not run.
  void set_refusing(bool refusing) { state_->refusing = refusing; }
  // While set, every request is refused as not run, and the searcher asks for
  // no requests for so long.
  void set_push_back(std::optional<std::string> seconds) {
    state_->push_back = std::move(seconds);
  }
  // While set, every reply says that the searcher is leaving.
  void set_leaving(bool leaving) { state_->leaving = leaving; }
  // Starts a new incarnation with the same id.
  void Restart() {
    ++state_->born;
    state_->heartbeat = 0;
    state_->leaving = false;
  }
  // The body of every reply from now on.
  void set_body(std::string body) { state_->body = std::move(body); }
  // While set, requests run but their connections are closed without a reply.
  void set_losing_replies(bool losing) { state_->losing_replies = losing; }
  // Port to register instead of port(), for instance that of a proxy.
  void set_advertised_port(std::uint16_t port) { advertised_port_ = port; }
  void set_observer(std::function<void(const SearcherRun&)> observer) {
    state_->observer = std::move(observer);
  }
  // Closes all connections and stops listening.
  void Crash();
  const std::string& id() const { return state_->id; }
  const std::string& service() const { return state_->service; }
  int runs() const { return state_->runs; }
  int arrivals() const { return state_->arrivals; }
  // The body of every reply of this searcher, unless another one was set.
  static std::string RecordsOf(const std::string& searcher);

 private:
  class Session;
  struct State {
    std::string service;
    std::string id;
    Duration service_time = std::chrono::milliseconds(5);
    bool refusing = false;
    bool losing_replies = false;
    std::optional<std::string> body;
    std::function<void(const SearcherRun&)> observer;
    std::optional<std::string> push_back;
    std::atomic<bool> leaving = false;
    std::atomic<int> runs = 0;
    // Including refused requests.
    std::atomic<int> arrivals = 0;
    int born = 1;
    int heartbeat = 0;
  };

  void Accept();

  TimerService& timers_;
  std::shared_ptr<State> state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Session>> sessions_;
  std::uint16_t advertised_port_ = 0;
};

}  // namespace jujubecove

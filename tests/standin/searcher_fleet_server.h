#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/result.h"
#include "kernel/asio_timer_service.h"
#include "tests/standin/searcher_server.h"

namespace jujubecove::standin {

// One service of the fleet: "name:shards:replicas:slots:connections:
// connect_cost_us:service_time_us[:buckets[:spread_percent]]".
struct FleetServiceSpec {
  std::string name;
  std::size_t shards = 1;
  std::size_t replicas = 1;
  SearcherParameters parameters;
  std::size_t buckets = 0;
};

Result<FleetServiceSpec> ParseFleetServiceSpec(const std::string& text);

// Runs many searchers on consecutive loopback ports, distributed over a few
// threads, with operations for faults and counters.
class SearcherFleetServer {
 public:
  SearcherFleetServer(std::size_t threads,
                      std::uint16_t first_port,
                      std::vector<std::string> zones,
                      std::uint64_t seed);
  ~SearcherFleetServer();

  // May be called before Start only.
  void AddService(const FleetServiceSpec& spec);
  void Start();
  void Stop();

  // The searchers as a JSON VM list {"vms": [...]}.
  std::string VmListJson() const;
  // Applies a fault row {"service","shard","replica","searcher", "slow",
  // "down","draining","silence","cold","fail","lost_reply","ignore_pin",
  // "hold":[map,index],"drop":[map,index],"in_flight","healthy"} to every
  // searcher that matches; `done` runs on the fleet's first thread.
  void ApplyFaults(std::string_view row, std::function<void(bool)> done);
  // Passes the counters of each searcher, and the numbers of requests that took
  // effect and that took effect more than once, to `done` as JSON.
  void Stats(std::function<void(std::string)> done);

  boost::asio::io_context& first_context() { return *threads_[0]->context; }
  std::size_t size() const { return searchers_.size(); }

 private:
  struct Thread {
    std::unique_ptr<boost::asio::io_context> context;
    std::unique_ptr<AsioTimerService> timers;
    std::thread thread;
  };
  struct Entry {
    std::string service;
    std::size_t shard = 0;
    std::size_t replica = 0;
    std::string zone;
    std::size_t thread = 0;
    std::unique_ptr<SearcherServer> server;
  };

  // Runs `visit` for each matching searcher on its thread, then `done` on the
  // first thread.
  void ForEach(std::function<bool(const Entry&)> matches,
               std::function<void(Entry&)> visit,
               std::function<void()> done);

  std::uint16_t next_port_;
  std::vector<std::string> zones_;
  RandomEngine random_;
  std::shared_ptr<EffectCounter> effect_counter_;
  std::vector<std::unique_ptr<Thread>> threads_;
  std::vector<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guards_;
  std::vector<std::unique_ptr<Entry>> searchers_;
};

}  // namespace jujubecove::standin

#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubecove::standin {

// A process that a test or an experiment starts and measures. It is killed with
// the object if it still runs.
class ChildProcess {
 public:
  // Standard output and error go to `log_path`.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log_path);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int number);
  // The exit code, or 128 + signal; nothing when it still runs at the time-out.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  bool running();

  // Processor time of all threads, user and system.
  std::chrono::microseconds CpuTime() const;
  std::size_t ResidentBytes() const;

 private:
  bool Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace jujubecove::standin

#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubecove::standin {

// A child process whose resource use can be measured. The destructor kills it
// if it is still running.
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
  // Returns the exit code, or 128 + signal; empty on timeout.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  bool running();

  // User and system CPU time of all threads.
  std::chrono::microseconds CpuTime() const;
  std::size_t ResidentBytes() const;

 private:
  bool Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace jujubecove::standin

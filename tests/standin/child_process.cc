#include "tests/standin/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace jujubecove::standin {

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log_path) {
  std::vector<char*> argv;
  for (const std::string& it : arguments)
    argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited socket would stay open in the child after this process has
  // closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  int error =
      posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    std::cerr << "cannot start " << argv[0] << "\n";
    std::exit(2);
  }
}

ChildProcess::~ChildProcess() {
  if (!running())
    return;
  Signal(SIGKILL);
  Signal(SIGCONT);
  Reap(true);
}

void ChildProcess::Signal(int number) {
  if (!exit_code_)
    kill(pid_, number);
}

bool ChildProcess::Reap(bool block) {
  if (exit_code_)
    return true;
  int status = 0;
  if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_)
    return false;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return true;
}

bool ChildProcess::running() {
  return !Reap(false);
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  constexpr std::chrono::milliseconds kStep{10};
  for (std::chrono::milliseconds waited{0}; waited <= timeout;
       waited += kStep) {
    if (Reap(false))
      return exit_code_;
    std::this_thread::sleep_for(kStep);
  }
  return std::nullopt;
}

std::chrono::microseconds ChildProcess::CpuTime() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  // Skip the command name, which may contain blanks.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n)
    fields >> skipped;
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return std::chrono::microseconds((user + system) * 1'000'000 /
                                   sysconf(_SC_CLK_TCK));
}

std::size_t ChildProcess::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace jujubecove::standin

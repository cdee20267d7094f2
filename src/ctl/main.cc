#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "ctl/command.h"

DEFINE_string(daemon,
              "127.0.0.1:8080",
              "ip:port of an entry daemon's callers' interface");
DEFINE_string(platform, "127.0.0.1:7400", "ip:port of the platform's service");
DEFINE_bool(json, false, "print JSON instead of text");

namespace jujubecove {
namespace {

ExitCode RunCommand(const std::vector<std::string>& words) {
  std::vector<std::unique_ptr<Command>> commands = MakeCommands();
  if (words.empty() || (words[0] == "help" && words.size() == 1)) {
    std::cout << OverviewText(commands) << "\n";
    return words.empty() ? ExitCode::kUsage : ExitCode::kOk;
  }
  bool wants_help = words[0] == "help";
  const std::string& name = wants_help ? words[1] : words[0];
  CommandContext context{FLAGS_daemon, FLAGS_platform, FLAGS_json, std::cout,
                         std::cerr};
  for (const std::unique_ptr<Command>& it : commands) {
    if (it->name() != name)
      continue;
    if (wants_help) {
      std::cout << HelpText(*it);
      return ExitCode::kOk;
    }
    return it->Run(std::vector<std::string>(words.begin() + 1, words.end()),
                   context);
  }
  return context.Fail(ExitCode::kUsage, "unknown command " + name);
}

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  gflags::SetUsageMessage(jujubecove::OverviewText(jujubecove::MakeCommands()));
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return static_cast<int>(
      jujubecove::RunCommand(std::vector<std::string>(argv + 1, argv + argc)));
}

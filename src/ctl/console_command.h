#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

// Serves the console on 127.0.0.1 until SIGINT or SIGTERM. Port 0 selects any
// free port.
class ConsoleCommand : public Command {
 public:
  std::string name() const override { return "console"; }
  std::string arguments() const override { return "[FILE] [PORT]"; }
  std::string summary() const override {
    return "serves a web page on this machine to edit the document";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

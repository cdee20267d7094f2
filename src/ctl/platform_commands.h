#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

// Explains one request from a decision log.
class TraceCommand : public Command {
 public:
  std::string name() const override { return "trace"; }
  std::string arguments() const override { return "REQUEST-ID < LOG"; }
  std::string summary() const override {
    return "prints the decisions about a request from a log, and the cause";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

// Shows what the platform's store says is in force.
class InForceCommand : public Command {
 public:
  std::string name() const override { return "in-force"; }
  std::string arguments() const override { return "[HOST PATH]"; }
  std::string summary() const override {
    return "prints the configuration in the store, or the route of a request";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

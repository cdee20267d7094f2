#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

// Explains the outcome of a request from a decision log.
class TraceCommand : public Command {
 public:
  std::string name() const override { return "trace"; }
  std::string arguments() const override { return "REQUEST-ID < LOG"; }
  std::string summary() const override {
    return "prints the decisions about a request from a log, and explains it";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

// Shows the active configuration in the platform's store.
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

// Shows the rate limit of a workspace and the parts that the entry daemons
// grant.
class QuotaCommand : public Command {
 public:
  std::string name() const override { return "quota"; }
  std::string arguments() const override { return "WORKSPACE"; }
  std::string summary() const override {
    return "prints a workspace's rate limit and its parts over the fleet";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

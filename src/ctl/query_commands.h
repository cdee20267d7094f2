#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

class QueryCommand : public Command {
 public:
  std::string name() const override { return "query"; }
  std::string arguments() const override { return "KIND [BODY] [KEY]"; }
  std::string summary() const override {
    return "sends one request to an entry daemon and prints the answer";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

class StatusCommand : public Command {
 public:
  std::string name() const override { return "status"; }
  std::string arguments() const override { return ""; }
  std::string summary() const override {
    return "prints the state of an entry daemon";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

class CheckCommand : public Command {
 public:
  std::string name() const override { return "check"; }
  std::string arguments() const override { return "FILE"; }
  std::string summary() const override {
    return "validates a document and prints every fault";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

class DiffCommand : public Command {
 public:
  std::string name() const override { return "diff"; }
  std::string arguments() const override { return "OLD NEW"; }
  std::string summary() const override {
    return "prints what differs between two documents";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

class ExplainCommand : public Command {
 public:
  std::string name() const override { return "explain"; }
  std::string arguments() const override { return "FILE KIND"; }
  std::string summary() const override {
    return "describes in words what a document specifies for a kind";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubecove {

class ApplyCommand : public Command {
 public:
  std::string name() const override { return "apply"; }
  std::string arguments() const override {
    return "FILE [BASE_VERSION] [incomplete]";
  }
  std::string summary() const override {
    return "puts a document in force everywhere";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

class RevertCommand : public Command {
 public:
  std::string name() const override { return "revert"; }
  std::string arguments() const override { return "VERSION"; }
  std::string summary() const override {
    return "puts the content of an earlier version in force as a new version";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

class HistoryCommand : public Command {
 public:
  std::string name() const override { return "history"; }
  std::string arguments() const override { return "[VERSION]"; }
  std::string summary() const override {
    return "lists the latest versions and the state of each zone";
  }
  std::string help() const override;
  ExitCode Run(const std::vector<std::string>& arguments,
               const CommandContext& context) override;
};

}  // namespace jujubecove

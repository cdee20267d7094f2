#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "base/result.h"
#include "config/activator.h"
#include "ctl/command.h"
#include "ctl/store_session.h"

namespace jujubecove {

// Applies a canonical document to all zones that have entry VMs.
Result<ApplyReport> ApplyDocument(StoreSession& session, ApplyRequest request);
// Prints the outcome of a change and the state of each zone for people.
void PrintReport(const ApplyReport& report, std::ostream& out);

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

#pragma once

#include <boost/json/value.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace jujubecove {

// Exit codes of jujubecovectl; docs/OPERATIONS.md explains them.
enum class ExitCode : int {
  kOk = 0,
  // The document, the request or the change was refused.
  kRefused = 1,
  kUsage = 2,
  // A daemon or the platform could not be reached.
  kUnreachable = 3,
  // It can't be told whether the change took effect; run status.
  kUnknown = 4,
  // Another operator's change came first.
  kConflict = 5,
};

// Where a command finds the tier, and how it prints.
struct CommandContext {
  // "ip:port" of an entry daemon's callers' interface.
  std::string daemon;
  // "ip:port" of the platform's service.
  std::string platform;
  bool json = false;
  std::ostream& out;
  std::ostream& err;

  // Prints one JSON value on a line.
  void PrintJson(const boost::json::value& value) const;
  // Prints a fault for people, or as JSON, and returns `code`.
  ExitCode Fail(ExitCode code, const std::string& message) const;
};

// One command of jujubecovectl.
class Command {
 public:
  virtual ~Command() = default;

  virtual std::string name() const = 0;
  // The arguments behind the name, such as "FILE".
  virtual std::string arguments() const = 0;
  virtual std::string summary() const = 0;
  // What --help says beyond the summary.
  virtual std::string help() const = 0;
  virtual ExitCode Run(const std::vector<std::string>& arguments,
                       const CommandContext& context) = 0;
};

// Every command, in the order of the overview.
std::vector<std::unique_ptr<Command>> MakeCommands();

// The overview of all commands, or the help of one.
std::string OverviewText(const std::vector<std::unique_ptr<Command>>& commands);
std::string HelpText(const Command& command);

}  // namespace jujubecove

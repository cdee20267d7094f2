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
  // It is unknown whether the change took effect; check with the status
  // command.
  kUnknown = 4,
  // Another operator's change was applied first.
  kConflict = 5,
};

// The addresses that a command talks to, and its output.
struct CommandContext {
  // "ip:port" of an entry daemon's callers' interface.
  std::string daemon;
  // "ip:port" of the platform's service.
  std::string platform;
  bool json = false;
  std::ostream& out;
  std::ostream& err;

  // Prints a JSON value on one line.
  void PrintJson(const boost::json::value& value) const;
  // Prints an error as text or as JSON, and returns `code`.
  ExitCode Fail(ExitCode code, const std::string& message) const;
};

// One command of jujubecovectl.
class Command {
 public:
  virtual ~Command() = default;

  virtual std::string name() const = 0;
  // The arguments after the name, such as "FILE".
  virtual std::string arguments() const = 0;
  virtual std::string summary() const = 0;
  // Details that the help of the command shows below the summary.
  virtual std::string help() const = 0;
  virtual ExitCode Run(const std::vector<std::string>& arguments,
                       const CommandContext& context) = 0;
};

// Creates all commands, in the order of the overview.
std::vector<std::unique_ptr<Command>> MakeCommands();

// The overview of all commands, or the help of one.
std::string OverviewText(const std::vector<std::unique_ptr<Command>>& commands);
std::string HelpText(const Command& command);

}  // namespace jujubecove

#include "ctl/command.h"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

#include "ctl/console_command.h"
#include "ctl/document_commands.h"
#include "ctl/platform_commands.h"
#include "ctl/query_commands.h"

namespace jujubecove {

void CommandContext::PrintJson(const boost::json::value& value) const {
  out << boost::json::serialize(value) << "\n";
}

ExitCode CommandContext::Fail(ExitCode code, const std::string& message) const {
  if (json)
    PrintJson(boost::json::object{{"error", message},
                                  {"exit_code", static_cast<int>(code)}});
  else
    err << "jujubecovectl: " << message << "\n";
  return code;
}

std::vector<std::unique_ptr<Command>> MakeCommands() {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<CheckCommand>());
  commands.push_back(std::make_unique<DiffCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  commands.push_back(std::make_unique<ConsoleCommand>());
  commands.push_back(std::make_unique<QueryCommand>());
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<InForceCommand>());
  commands.push_back(std::make_unique<TraceCommand>());
  commands.push_back(std::make_unique<QuotaCommand>());
  return commands;
}

std::string OverviewText(
    const std::vector<std::unique_ptr<Command>>& commands) {
  std::ostringstream out;
  out << "jujubecovectl [FLAGS] COMMAND [ARGUMENTS]\n\n";
  for (const std::unique_ptr<Command>& it : commands) {
    out << "  " << std::left << std::setw(28)
        << (it->name() + " " + it->arguments()) << it->summary() << "\n";
  }
  out << "\n\"jujubecovectl help COMMAND\" describes a command.\n"
         "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 outcome "
         "unknown, 5 conflict.";
  return out.str();
}

std::string HelpText(const Command& command) {
  return "jujubecovectl " + command.name() + " " + command.arguments() + "\n" +
         command.summary() + "\n\n" + command.help() + "\n";
}

}  // namespace jujubecove

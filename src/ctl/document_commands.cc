#include "ctl/document_commands.h"

#include <boost/json.hpp>
#include <optional>
#include <sstream>

#include "ctl/document_file.h"
#include "document/document_text.h"

namespace jujubecove {
namespace {

namespace json = boost::json;

std::string_view NameOf(DocumentChange::Type type) {
  switch (type) {
    case DocumentChange::Type::kAdded:
      return "added";
    case DocumentChange::Type::kRemoved:
      return "removed";
    case DocumentChange::Type::kChanged:
      break;
  }
  return "changed";
}

void PrintChange(const DocumentChange& change, const CommandContext& context) {
  std::string place = "[" + change.section + "]";
  if (!change.key.empty())
    place += " " + change.key;
  context.out << NameOf(change.type) << " " << place;
  if (!change.key.empty())
    context.out << ": " << change.old_value << " -> " << change.new_value;
  context.out << "\n";
}

json::object ToJson(const DocumentChange& change) {
  return json::object{{"change", json::string(NameOf(change.type))},
                      {"section", change.section},
                      {"key", change.key},
                      {"old", change.old_value},
                      {"new", change.new_value}};
}

std::string Percent(double share) {
  std::ostringstream out;
  out << share * 100.0 << "%";
  return out.str();
}

// Describes each requirement of the kind on its own line.
std::vector<std::string> Explain(const KindSpec& kind,
                                 const ServiceSpec& service) {
  std::vector<std::string> lines;
  std::string place = kind.addressing == Addressing::kOneKey
                          ? "the one shard that holds the request's key"
                          : "all " + std::to_string(service.shards) + " shards";
  lines.push_back("asks " + place + " of " + service.name.value());
  lines.push_back("has urgency " +
                  std::to_string(static_cast<int>(kind.urgency)) +
                  " (0 is served first) and at most " +
                  std::to_string(kind.deadline.count() / 1000) + " ms");
  lines.push_back("is refused when less than " + Percent(kind.least_coverage) +
                  " of the addressed shards are covered");
  lines.push_back(kind.partial ? "may be answered in part at the deadline"
                               : "is answered whole or not at all");
  lines.push_back(kind.snapshot
                      ? "reads every shard at one index version"
                      : "may read shards at different index versions");
  if (!kind.idempotent)
    lines.push_back(
        "is not idempotent: it needs a ticket, is sent to a searcher at most "
        "once and is never hedged");
  else
    lines.push_back(kind.hedge ? "may be retried and hedged within the budget"
                               : "may be retried within the budget");
  if (kind.merge == MergeRule::kFirstK)
    lines.push_back("keeps the first " + std::to_string(kind.merge_limit) +
                    " records by " + kind.merge_key +
                    (kind.descending ? ", largest first" : ", smallest first"));
  return lines;
}

}  // namespace

std::string CheckCommand::help() const {
  return "Prints each fault with its line, section, key and the accepted "
         "values. Exit code 0 if there is none, 1 otherwise.";
}

ExitCode CheckCommand::Run(const std::vector<std::string>& arguments,
                           const CommandContext& context) {
  if (arguments.size() != 1)
    return context.Fail(ExitCode::kUsage, "check takes one FILE");
  ExitCode code = ExitCode::kOk;
  std::optional<Document> document = LoadDocument(arguments[0], context, code);
  if (!document)
    return code;
  ContentHash hash = HashOfText(CanonicalText(*document));
  if (context.json)
    context.PrintJson(json::object{{"kinds", document->kinds.size()},
                                   {"services", document->services.size()},
                                   {"sha256", hash.sha256}});
  else
    context.out << arguments[0] << ": " << document->kinds.size() << " kinds, "
                << document->services.size() << " services, sha256 "
                << hash.sha256 << "\n";
  return ExitCode::kOk;
}

std::string DiffCommand::help() const {
  return "Compares the meaning of the documents: comments, order and explicit "
         "defaults make no difference.";
}

ExitCode DiffCommand::Run(const std::vector<std::string>& arguments,
                          const CommandContext& context) {
  if (arguments.size() != 2)
    return context.Fail(ExitCode::kUsage, "diff takes OLD and NEW");
  ExitCode code = ExitCode::kOk;
  std::optional<Document> before = LoadDocument(arguments[0], context, code);
  if (!before)
    return code;
  std::optional<Document> after = LoadDocument(arguments[1], context, code);
  if (!after)
    return code;
  std::vector<DocumentChange> changes =
      DiffTexts(CanonicalText(*before), CanonicalText(*after));
  if (!context.json) {
    for (const DocumentChange& it : changes)
      PrintChange(it, context);
    return ExitCode::kOk;
  }
  json::array rows;
  for (const DocumentChange& it : changes)
    rows.push_back(ToJson(it));
  context.PrintJson(json::object{{"changes", std::move(rows)}});
  return ExitCode::kOk;
}

std::string ExplainCommand::help() const {
  return "Reads the kind from FILE, with defaults filled in.";
}

ExitCode ExplainCommand::Run(const std::vector<std::string>& arguments,
                             const CommandContext& context) {
  if (arguments.size() != 2)
    return context.Fail(ExitCode::kUsage, "explain takes FILE and KIND");
  ExitCode code = ExitCode::kOk;
  std::optional<Document> document = LoadDocument(arguments[0], context, code);
  if (!document)
    return code;
  auto it = document->kinds.find(KindName(arguments[1]));
  if (it == document->kinds.end())
    return context.Fail(ExitCode::kRefused, "no kind " + arguments[1]);
  std::vector<std::string> lines =
      Explain(it->second, document->services.at(it->second.service));
  if (context.json) {
    context.PrintJson(json::object{{"kind", arguments[1]},
                                   {"demands", json::value_from(lines)}});
    return ExitCode::kOk;
  }
  context.out << arguments[1] << "\n";
  for (const std::string& line : lines)
    context.out << "  " << line << "\n";
  return ExitCode::kOk;
}

}  // namespace jujubecove

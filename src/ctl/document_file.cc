#include "ctl/document_file.h"

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

namespace json = boost::json;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void PrintFaults(const std::vector<SettingFault>& faults,
                 const CommandContext& context) {
  if (!context.json) {
    for (const SettingFault& it : faults)
      context.err << it.ToString() << "\n";
    return;
  }
  json::array rows;
  for (const SettingFault& it : faults) {
    rows.push_back(json::object{{"file", it.file},
                                {"line", it.line},
                                {"section", it.section},
                                {"key", it.key},
                                {"message", it.message}});
  }
  context.PrintJson(json::object{{"faults", std::move(rows)}});
}

}  // namespace

std::optional<Document> LoadDocument(const std::string& path,
                                     const CommandContext& context,
                                     ExitCode& code) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    code = context.Fail(ExitCode::kUsage, "cannot read " + path);
    return std::nullopt;
  }
  ParsedDocument parsed = ParseDocument(*text, path);
  if (!parsed.ok()) {
    PrintFaults(parsed.faults, context);
    code = ExitCode::kRefused;
    return std::nullopt;
  }
  return std::move(parsed.document);
}

}  // namespace jujubecove

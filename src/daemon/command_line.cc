#include "daemon/command_line.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>

#include "daemon/daemon.h"
#include "daemon/daemon_settings.h"
#include "daemon/exit_code.h"
#include "document/document_parser.h"
#include "kernel/startup_signals.h"
#include "settings/ini_file.h"
#include "settings/overrides.h"

DEFINE_string(config, "", "INI file with the settings");
DEFINE_string(
    set,
    "",
    "overrides settings, section.key=value; may be repeated or separated "
    "by commas");
DEFINE_string(document,
              "",
              "file with the operators' document; SIGHUP reloads it");
DEFINE_bool(check, false, "validate the settings and the document, and exit");
DEFINE_bool(describe, false, "print every setting with its default, and exit");

namespace jujubecove {
namespace {

constexpr char kVersion[] = "0.1.0";

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (!file)
    return std::nullopt;
  return text;
}

void PrintFaults(const std::vector<SettingFault>& faults) {
  for (const SettingFault& fault : faults)
    std::cerr << fault.ToString() << "\n";
}

SettingFault UnreadableFault(const std::string& path) {
  return SettingFault{path, 0, "", "", "can't be read"};
}

DaemonConfig LoadSettings(const std::vector<std::string>& overrides,
                          std::vector<SettingFault>& faults) {
  IniFile file;
  if (!FLAGS_config.empty()) {
    std::optional<std::string> text = ReadFile(FLAGS_config);
    if (text)
      file = IniFile::Parse(FLAGS_config, *text, faults);
    else
      faults.push_back(UnreadableFault(FLAGS_config));
  }
  return MakeDaemonConfig(
      Settings::Load(DaemonSchema(), file, overrides, faults));
}

std::shared_ptr<const Document> LoadDocument(
    std::vector<SettingFault>& faults) {
  if (FLAGS_document.empty())
    return nullptr;
  std::optional<std::string> text = ReadFile(FLAGS_document);
  if (!text) {
    faults.push_back(UnreadableFault(FLAGS_document));
    return nullptr;
  }
  ParsedDocument parsed = ParseDocument(*text, FLAGS_document);
  faults.insert(faults.end(), parsed.faults.begin(), parsed.faults.end());
  static std::uint64_t last_version = 0;
  parsed.document.version = ConfigVersion(++last_version);
  return std::make_shared<const Document>(std::move(parsed.document));
}

Result<std::shared_ptr<const Document>> ReloadDocument() {
  std::vector<SettingFault> faults;
  std::shared_ptr<const Document> document = LoadDocument(faults);
  if (!faults.empty())
    return Error{ErrorKind::kBadRequest, faults.front().ToString()};
  return document;
}

int Serve(const DaemonConfig& config,
          std::shared_ptr<const Document> document) {
  Daemon daemon(config, kVersion);
  ReleaseReloadSignal();
  Result<void> started = daemon.Start(
      std::move(document),
      FLAGS_document.empty() ? Daemon::DocumentLoader() : ReloadDocument);
  if (!started) {
    std::cerr << "jujubecoved: " << started.error().detail << "\n";
    return kExitStartFailed;
  }
  return daemon.Run();
}

}  // namespace

int RunDaemon(int argc, char** argv) {
  std::vector<std::string> arguments(argv, argv + argc);
  std::vector<std::string> overrides = TakeOverrides(arguments);
  std::vector<char*> pointers;
  for (std::string& it : arguments)
    pointers.push_back(it.data());
  int count = static_cast<int>(pointers.size());
  char** first = pointers.data();
  gflags::SetUsageMessage("the entry daemon of jujubecove");
  gflags::SetVersionString(kVersion);
  gflags::ParseCommandLineFlags(&count, &first, true);
  if (count > 1) {
    std::cerr << "jujubecoved: unexpected argument " << first[1] << "\n";
    return kExitBadSettings;
  }
  if (FLAGS_describe) {
    std::cout << DescribeSchema(DaemonSchema());
    return kExitOk;
  }
  std::vector<SettingFault> faults;
  DaemonConfig config = LoadSettings(overrides, faults);
  std::shared_ptr<const Document> document = LoadDocument(faults);
  PrintFaults(faults);
  if (!faults.empty())
    return kExitBadSettings;
  if (FLAGS_check) {
    std::cout << "the settings are valid\n";
    return kExitOk;
  }
  return Serve(config, std::move(document));
}

}  // namespace jujubecove

#include "settings/settings.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>
#include <utility>

namespace jujubecove {
namespace {

constexpr std::size_t kMaxSectionNameBytes = 64;
constexpr char kCommandLineSource[] = "command line";

const SettingSection* FindSection(const SettingsSchema& schema,
                                  const std::string& type) {
  auto it = std::find_if(
      schema.begin(), schema.end(),
      [&type](const SettingSection& section) { return section.type == type; });
  return it == schema.end() ? nullptr : &*it;
}

const SettingBase* FindSetting(const SettingSection& section,
                               const std::string& key) {
  auto it = std::find_if(
      section.settings.begin(), section.settings.end(),
      [&key](const SettingBase* setting) { return setting->key() == key; });
  return it == section.settings.end() ? nullptr : *it;
}

std::string ListSections(const SettingsSchema& schema) {
  std::string text = "accepted:";
  for (const SettingSection& section : schema)
    text += " [" + section.type + (section.named ? " NAME]" : "]");
  return text;
}

std::string ListKeys(const SettingSection& section) {
  std::string text = "accepted:";
  for (const SettingBase* setting : section.settings)
    text += " " + setting->key();
  return text;
}

// Returns what is wrong with a section heading, or an empty string.
std::string HeadingFault(const SettingsSchema& schema,
                         const std::string& type,
                         const std::string& name) {
  const SettingSection* section = FindSection(schema, type);
  if (section == nullptr)
    return "unknown section; " + ListSections(schema);
  if (section->named && name.empty())
    return "the section needs a name; accepted: [" + type + " NAME]";
  if (!section->named && !name.empty())
    return "the section takes no name; accepted: [" + type + "]";
  if (section->named && !IsValidSectionName(name))
    return "invalid name; accepted: at most 64 letters, digits, '-', '_' and "
           "'.'";
  return "";
}

// Returns what is wrong with a key or its value, or an empty string.
std::string ValueFault(const SettingSection& section,
                       const std::string& key,
                       const std::string& text) {
  const SettingBase* setting = FindSetting(section, key);
  if (setting == nullptr)
    return "unknown key; " + ListKeys(section);
  if (!setting->Accepts(text))
    return "invalid value \"" + text + "\"; accepted: " + setting->Accepted();
  return "";
}

}  // namespace

bool IsValidSectionName(const std::string& name) {
  if (name.empty() || name.size() > kMaxSectionNameBytes)
    return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

Settings Settings::Load(const SettingsSchema& schema,
                        const IniFile& file,
                        const std::vector<std::string>& overrides,
                        std::vector<SettingFault>& faults) {
  Settings settings;
  settings.schema_ = schema;
  settings.file_ = file.file;
  for (const SettingSection& section : schema) {
    if (!section.named)
      settings.sections_[section.type][""];
  }
  settings.ApplyFile(file, faults);
  for (const std::string& text : overrides)
    settings.ApplyOverride(text, faults);
  settings.ReportMissing(faults);
  return settings;
}

void Settings::ApplyFile(const IniFile& file,
                         std::vector<SettingFault>& faults) {
  for (const IniSection& section : file.sections) {
    std::string fault = HeadingFault(schema_, section.type, section.name);
    if (!fault.empty()) {
      faults.push_back(SettingFault{file.file, section.line, section.heading(),
                                    "", std::move(fault)});
      continue;
    }
    Section& target = sections_[section.type][section.name];
    target.line = section.line;
    const SettingSection& declared = *FindSection(schema_, section.type);
    for (const auto& [key, value] : section.values) {
      fault = ValueFault(declared, key, value.text);
      if (fault.empty())
        target.values[key] = Value{value.text, file.file, value.line};
      else
        faults.push_back(SettingFault{file.file, value.line, section.heading(),
                                      key, std::move(fault)});
    }
  }
}

void Settings::ApplyOverride(const std::string& text,
                             std::vector<SettingFault>& faults) {
  std::size_t equals = text.find('=');
  std::size_t dot =
      equals == std::string::npos ? equals : text.rfind('.', equals);
  if (dot == std::string::npos) {
    faults.push_back(SettingFault{
        kCommandLineSource, 0, "", "",
        "malformed override \"" + text + "\"; accepted: section.key=value"});
    return;
  }
  std::string heading = boost::algorithm::trim_copy(text.substr(0, dot));
  std::string key =
      boost::algorithm::trim_copy(text.substr(dot + 1, equals - dot - 1));
  std::string value = boost::algorithm::trim_copy(text.substr(equals + 1));
  std::size_t space = heading.find(' ');
  std::string type = heading.substr(0, space);
  std::string name = space == std::string::npos
                         ? ""
                         : boost::algorithm::trim_copy(heading.substr(space));
  std::string fault = HeadingFault(schema_, type, name);
  if (fault.empty())
    fault = ValueFault(*FindSection(schema_, type), key, value);
  if (!fault.empty()) {
    faults.push_back(
        SettingFault{kCommandLineSource, 0, heading, key, std::move(fault)});
    return;
  }
  sections_[type][name].values[key] = Value{value, kCommandLineSource, 0};
}

void Settings::ReportMissing(std::vector<SettingFault>& faults) const {
  for (const SettingSection& section : schema_) {
    auto type = sections_.find(section.type);
    if (type == sections_.end())
      continue;
    for (const auto& [name, values] : type->second) {
      for (const SettingBase* setting : section.settings) {
        if (setting->DefaultText() || IsGiven(*setting, name))
          continue;
        // A rejected value already has a fault.
        std::string heading = HeadingOf(section.type, name);
        bool already_reported = std::any_of(
            faults.begin(), faults.end(), [&](const SettingFault& fault) {
              return fault.section == heading && fault.key == setting->key();
            });
        if (!already_reported)
          faults.push_back(FaultAt(
              *setting, name, "is required; accepted: " + setting->Accepted()));
      }
    }
  }
}

const Settings::Value* Settings::Find(const std::string& type,
                                      const std::string& name,
                                      const std::string& key) const {
  auto sections = sections_.find(type);
  if (sections == sections_.end())
    return nullptr;
  auto section = sections->second.find(name);
  if (section == sections->second.end())
    return nullptr;
  auto value = section->second.values.find(key);
  return value == section->second.values.end() ? nullptr : &value->second;
}

std::vector<std::string> Settings::NamesOf(const std::string& type) const {
  std::vector<std::string> names;
  auto sections = sections_.find(type);
  if (sections == sections_.end())
    return names;
  for (const auto& [name, section] : sections->second)
    names.push_back(name);
  return names;
}

SettingFault Settings::FaultAt(const SettingBase& setting,
                               const std::string& name,
                               std::string message) const {
  SettingFault fault{file_, 0, HeadingOf(setting.section(), name),
                     setting.key(), std::move(message)};
  const Value* value = Find(setting.section(), name, setting.key());
  if (value != nullptr) {
    fault.file = value->source;
    fault.line = value->line;
    return fault;
  }
  auto sections = sections_.find(setting.section());
  if (sections == sections_.end())
    return fault;
  auto section = sections->second.find(name);
  if (section != sections->second.end())
    fault.line = section->second.line;
  return fault;
}

std::string Settings::ToIni() const {
  boost::property_tree::ptree tree;
  for (const SettingSection& section : schema_) {
    for (const std::string& name : NamesOf(section.type)) {
      boost::property_tree::ptree values;
      for (const SettingBase* setting : section.settings) {
        const Value* value = Find(section.type, name, setting->key());
        std::string text = value != nullptr
                               ? setting->Canonicalize(value->text)
                               : setting->DefaultText().value_or("");
        values.push_back({setting->key(), boost::property_tree::ptree(text)});
      }
      tree.push_back({HeadingOf(section.type, name), values});
    }
  }
  std::ostringstream out;
  boost::property_tree::write_ini(out, tree);
  return out.str();
}

std::string DescribeSchema(const SettingsSchema& schema) {
  std::string text;
  for (const SettingSection& section : schema) {
    text += text.empty() ? "" : "\n";
    if (!section.doc.empty())
      text += "# " + section.doc + "\n";
    text += "[" + section.type + (section.named ? " NAME]\n" : "]\n");
    for (const SettingBase* setting : section.settings) {
      text +=
          "# " + setting->doc() + " Accepted: " + setting->Accepted() + ".\n";
      std::optional<std::string> value = setting->DefaultText();
      text += value ? setting->key() + " = " + *value + "\n"
                    : "# " + setting->key() + " is required.\n";
    }
  }
  return text;
}

}  // namespace jujubecove

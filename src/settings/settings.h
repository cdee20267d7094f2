#pragma once

#include <cassert>
#include <map>
#include <string>
#include <vector>

#include "settings/ini_file.h"
#include "settings/setting.h"
#include "settings/setting_fault.h"

namespace jujubecove {

// The settings of one type of section. A section is either single, with its
// type as heading, or named: any number of headings with the type and a name.
struct SettingSection {
  std::string type;
  bool named = false;
  std::vector<const SettingBase*> settings;
  std::string doc;
};

// Every section that is accepted. The settings must outlive it.
using SettingsSchema = std::vector<SettingSection>;

// Values of all settings of a schema from the layers default, file and command
// line, where a later one wins.
class Settings {
 public:
  // Reads the file and the overrides ("section.key=value", or
  // "section name.key=value") and adds every fault. After a fault the value is
  // the default, so that further checks can go on.
  static Settings Load(const SettingsSchema& schema,
                       const IniFile& file,
                       const std::vector<std::string>& overrides,
                       std::vector<SettingFault>& faults);

  // The value for the section of that name. A required setting that has a fault
  // gives a value-initialised T.
  template <typename T>
  T Get(const Setting<T>& setting, const std::string& name = "") const {
    const Value* value = Find(setting.section(), name, setting.key());
    if (value != nullptr)
      return *setting.Parse(value->text);
    return setting.default_value().value_or(T{});
  }

  // Whether the file or the command line gave a value without fault.
  bool IsGiven(const SettingBase& setting, const std::string& name = "") const {
    return Find(setting.section(), name, setting.key()) != nullptr;
  }

  // Names of the sections of that type, sorted.
  std::vector<std::string> NamesOf(const std::string& type) const;

  // A fault at the line of a setting, or of its section when the setting was
  // not given; for checks that span several settings.
  SettingFault FaultAt(const SettingBase& setting,
                       const std::string& name,
                       std::string message) const;

  // Every value, including defaults: sections and keys in the order of the
  // schema, names sorted, each value in its canonical text. Equal settings give
  // equal text.
  std::string ToIni() const;

 private:
  struct Value {
    std::string text;
    // "command line" or the name of the file.
    std::string source;
    int line = 0;
  };
  struct Section {
    int line = 0;
    std::map<std::string, Value> values;
  };

  const Value* Find(const std::string& type,
                    const std::string& name,
                    const std::string& key) const;
  void ReadFile(const IniFile& file, std::vector<SettingFault>& faults);
  void ReadOverride(const std::string& text, std::vector<SettingFault>& faults);
  void RequireGiven(std::vector<SettingFault>& faults) const;

  SettingsSchema schema_;
  std::string file_;
  // By type, then by name.
  std::map<std::string, std::map<std::string, Section>> sections_;
};

// A commented INI file with every setting, its default and what is accepted.
std::string DescribeSchema(const SettingsSchema& schema);

// Whether `name` can stand in a section heading: letters, digits, '-', '_' and
// '.', at most 64.
bool IsValidSectionName(const std::string& name);

}  // namespace jujubecove

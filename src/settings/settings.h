#pragma once

#include <cassert>
#include <map>
#include <string>
#include <vector>

#include "settings/ini_file.h"
#include "settings/setting.h"
#include "settings/setting_fault.h"

namespace jujubecove {

// The declaration of one type of section. The heading of an unnamed section is
// the type alone, and there is one such section. The heading of a named section
// is the type and a name, and there can be any number of them.
struct SettingSection {
  std::string type;
  bool named = false;
  std::vector<const SettingBase*> settings;
  std::string doc;
};

// All accepted sections. The settings must outlive the schema.
using SettingsSchema = std::vector<SettingSection>;

// The values of all settings of a schema. The command line overrides the file,
// which overrides the defaults.
class Settings {
 public:
  // Applies the file and then the overrides ("section.key=value" or
  // "section name.key=value"), and adds every fault. A value with a fault is
  // ignored, so that further checks can run.
  static Settings Load(const SettingsSchema& schema,
                       const IniFile& file,
                       const std::vector<std::string>& overrides,
                       std::vector<SettingFault>& faults);

  // Returns the value in the section `name`. For a required setting with a
  // fault, this is a value-initialized T.
  template <typename T>
  T Get(const Setting<T>& setting, const std::string& name = "") const {
    const Value* value = Find(setting.section(), name, setting.key());
    if (value != nullptr)
      return *setting.Parse(value->text);
    return setting.default_value().value_or(T{});
  }

  // Whether the file or the command line has an accepted value.
  bool IsGiven(const SettingBase& setting, const std::string& name = "") const {
    return Find(setting.section(), name, setting.key()) != nullptr;
  }

  // The sorted names of the sections of that type.
  std::vector<std::string> NamesOf(const std::string& type) const;

  // Returns a fault at the line of the setting, or of its section if the
  // setting is not given. Used by checks that span several settings.
  SettingFault FaultAt(const SettingBase& setting,
                       const std::string& name,
                       std::string message) const;

  // Returns all values, including defaults, as canonical text: sections and
  // keys are in schema order and names are sorted. Equal settings have equal
  // texts.
  std::string ToIni() const;

 private:
  struct Value {
    std::string text;
    // "command line" or the file name.
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
  void ApplyFile(const IniFile& file, std::vector<SettingFault>& faults);
  void ApplyOverride(const std::string& text,
                     std::vector<SettingFault>& faults);
  void ReportMissing(std::vector<SettingFault>& faults) const;

  SettingsSchema schema_;
  std::string file_;
  // By type, then by name.
  std::map<std::string, std::map<std::string, Section>> sections_;
};

// Returns a commented INI file with every setting, its default and its accepted
// values.
std::string DescribeSchema(const SettingsSchema& schema);

// Whether `name` is valid in a section heading: 1 to 64 letters, digits, '-',
// '_' and '.'.
bool IsValidSectionName(const std::string& name);

}  // namespace jujubecove

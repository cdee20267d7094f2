#pragma once

#include <map>
#include <string>
#include <vector>

#include "settings/setting_fault.h"

namespace jujubecove {

struct IniValue {
  std::string text;
  int line = 0;
};

// One section of an INI file. A heading such as [kind payout-search] has a type
// and a name; the name is empty when the heading is a single word.
struct IniSection {
  std::string type;
  std::string name;
  int line = 0;
  std::map<std::string, IniValue> values;

  // The heading without its brackets.
  std::string heading() const;
};

std::string HeadingOf(const std::string& type, const std::string& name);

// An INI file with the line of each section and key. A comment takes a whole
// line and starts with ';' or '#'; the rest of a line after '=' is the value.
struct IniFile {
  std::string file;
  // In the order of the file.
  std::vector<IniSection> sections;

  // Reads everything that is well formed and adds a fault for each line that is
  // not: malformed lines, keys outside of a section, duplicate sections and
  // duplicate keys (the first of them counts).
  static IniFile Parse(const std::string& file,
                       const std::string& text,
                       std::vector<SettingFault>& faults);
};

}  // namespace jujubecove

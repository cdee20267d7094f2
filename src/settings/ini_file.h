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

  // The heading without brackets.
  std::string heading() const;
};

std::string HeadingOf(const std::string& type, const std::string& name);

// The sections and keys of an INI file with their line numbers. A comment takes
// up a whole line and starts with ';' or '#'. The rest of a line after '=' is
// the value.
struct IniFile {
  std::string file;
  // In file order.
  std::vector<IniSection> sections;

  // Parses the text and adds a fault for each malformed line, key outside of a
  // section, duplicate section and duplicate key. Lines with a fault are
  // skipped, so the first of duplicates counts.
  static IniFile Parse(const std::string& file,
                       const std::string& text,
                       std::vector<SettingFault>& faults);
};

}  // namespace jujubecove

#pragma once

#include <string>

namespace jujubecove {

// One error in a settings file or a command line override. `line` is zero if
// the fault belongs to no line.
struct SettingFault {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  // Says what is wrong and what is accepted.
  std::string message;

  // "file:line: [section] key: message" without absent parts.
  std::string ToString() const;

  friend bool operator==(const SettingFault&, const SettingFault&) = default;
};

}  // namespace jujubecove

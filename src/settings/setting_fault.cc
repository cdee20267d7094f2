#include "settings/setting_fault.h"

namespace jujubecove {

std::string SettingFault::ToString() const {
  std::string text = file;
  if (line > 0)
    text += ":" + std::to_string(line);
  text += ": ";
  if (!section.empty())
    text += "[" + section + "] ";
  if (!key.empty())
    text += key + ": ";
  return text + message;
}

}  // namespace jujubecove

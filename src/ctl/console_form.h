#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/setting_fault.h"

namespace jujubecove {

using FormFields = std::vector<std::pair<std::string, std::string>>;

// Decodes application/x-www-form-urlencoded; nothing for a malformed escape.
std::optional<FormFields> DecodeForm(std::string_view body);
std::string EncodeForm(const FormFields& fields);
// The first field of that name, or an empty text.
std::string FieldOf(const FormFields& fields, const std::string& name);

// One [kind NAME] or [service NAME] as it was entered. An empty or absent value
// means the default.
struct FormSection {
  std::string type;
  std::string name;
  std::map<std::string, std::string> values;
};

// A fault of one field. `section` is the position in the form, or -1 for a
// fault of the whole document; the key is empty for a fault of the name.
struct FormFault {
  int section = -1;
  std::string key;
  std::string message;
};

struct FormCheck {
  std::vector<FormFault> faults;
  // The canonical document; empty if there are faults.
  std::string text;
};

// The form of a document, valid or not. Only lines that are not well formed add
// faults.
std::vector<FormSection> FormOfText(const std::string& text,
                                    std::vector<SettingFault>& faults);
std::vector<FormSection> FormOfFields(const FormFields& fields);
FormFields FieldsOf(const std::vector<FormSection>& form);
// The name of an input: "s3.deadline", or "s3.:name" for the section's name.
std::string FieldName(std::size_t section, const std::string& key);

// Validates the form as a document.
FormCheck CheckForm(const std::vector<FormSection>& form);

}  // namespace jujubecove

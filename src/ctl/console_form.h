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

// Decodes application/x-www-form-urlencoded; std::nullopt if an escape is
// malformed.
std::optional<FormFields> DecodeForm(std::string_view body);
std::string EncodeForm(const FormFields& fields);
// The value of the first field with that name, or an empty string.
std::string FieldValue(const FormFields& fields, const std::string& name);

// A section [kind NAME] or [service NAME] as entered. An empty or absent value
// stands for the default.
struct FormSection {
  std::string type;
  std::string name;
  std::map<std::string, std::string> values;
};

// A fault of one field. `section` is the index in the form, or -1 for a fault
// of the whole document. `key` is empty for a fault of the section's name.
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

// Creates the form of a document, which need not be valid. Adds faults only for
// malformed lines and unknown sections.
std::vector<FormSection> FormFromText(const std::string& text,
                                      std::vector<SettingFault>& faults);
std::vector<FormSection> FormFromFields(const FormFields& fields);
FormFields FieldsFromForm(const std::vector<FormSection>& form);
// The name of an HTML input: "s3.deadline", or "s3.:name" for the section's
// name.
std::string FieldName(std::size_t section, const std::string& key);

// Validates the form as a document.
FormCheck CheckForm(const std::vector<FormSection>& form);

}  // namespace jujubecove

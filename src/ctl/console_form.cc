#include "ctl/console_form.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <set>

#include "document/document_parser.h"
#include "document/document_text.h"

namespace jujubecove {
namespace {

constexpr char kNameKey[] = ":name";
constexpr char kTypeKey[] = ":type";

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

std::optional<std::string> Decode(std::string_view text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      out += text[n] == '+' ? ' ' : text[n];
      continue;
    }
    if (n + 2 >= text.size())
      return std::nullopt;
    int high = HexDigit(text[n + 1]);
    int low = HexDigit(text[n + 2]);
    if (high < 0 || low < 0)
      return std::nullopt;
    out += static_cast<char>(high * 16 + low);
    n += 2;
  }
  return out;
}

std::string Encode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (char c : text) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    if (plain) {
      out += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte / 16];
    out += kDigits[byte % 16];
  }
  return out;
}

// Splits "s3.deadline" into 3 and "deadline".
std::optional<std::pair<unsigned, std::string>> SplitName(
    const std::string& name) {
  std::size_t dot = name.find('.');
  if (name.empty() || name[0] != 's' || dot == std::string::npos)
    return std::nullopt;
  unsigned number = 0;
  const char* last = name.data() + dot;
  auto [end, error] = std::from_chars(name.data() + 1, last, number);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return std::pair(number, name.substr(dot + 1));
}

bool HasControlCharacter(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
}

const SettingSection* SchemaOf(const std::string& type) {
  for (const SettingSection& it : DocumentSchema()) {
    if (it.type == type)
      return &it;
  }
  return nullptr;
}

// Writes the form as INI text. Input that could change the structure of the
// text, such as a line break in a value, is left out and reported as a fault.
class FormWriter {
 public:
  explicit FormWriter(std::vector<FormFault>& faults) : faults_(faults) {}

  void Add(int index, const FormSection& section) {
    const SettingSection* schema = SchemaOf(section.type);
    if (schema == nullptr)
      return;
    if (!IsValidSectionName(section.name)) {
      faults_.push_back({index, "",
                         "invalid name; accepted: 1 to 64 letters, digits, "
                         "'-', '_' and '.'"});
      return;
    }
    std::string heading = HeadingOf(section.type, section.name);
    if (!section_indexes_.emplace(heading, index).second) {
      faults_.push_back({index, "", "another " + heading + " exists"});
      return;
    }
    text_ += "[" + heading + "]\n";
    for (const auto& [key, value] : section.values)
      AddValue(index, key, value);
  }

  const std::string& text() const { return text_; }
  int IndexOf(const std::string& heading) const {
    auto it = section_indexes_.find(heading);
    return it == section_indexes_.end() ? -1 : it->second;
  }

 private:
  void AddValue(int index, const std::string& key, const std::string& value) {
    if (value.empty())
      return;
    bool plain = std::all_of(key.begin(), key.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || c == '_';
    });
    if (!plain || key.empty())
      faults_.push_back({index, "", "unknown key"});
    else if (HasControlCharacter(value))
      faults_.push_back({index, key, "contains a control character"});
    else
      text_ += key + " = " + value + "\n";
  }

  std::vector<FormFault>& faults_;
  std::string text_;
  std::map<std::string, int> section_indexes_;
};

}  // namespace

std::optional<FormFields> DecodeForm(std::string_view body) {
  FormFields fields;
  while (!body.empty()) {
    std::size_t end = std::min(body.find('&'), body.size());
    std::string_view pair = body.substr(0, end);
    body.remove_prefix(std::min(end + 1, body.size()));
    if (pair.empty())
      continue;
    std::size_t equals = std::min(pair.find('='), pair.size());
    std::optional<std::string> name = Decode(pair.substr(0, equals));
    std::optional<std::string> value =
        Decode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value)
      return std::nullopt;
    fields.emplace_back(std::move(*name), std::move(*value));
  }
  return fields;
}

std::string EncodeForm(const FormFields& fields) {
  std::string body;
  for (const auto& [name, value] : fields)
    body += (body.empty() ? "" : "&") + Encode(name) + "=" + Encode(value);
  return body;
}

std::string FieldValue(const FormFields& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (key == name)
      return value;
  }
  return "";
}

std::vector<FormSection> FormFromText(const std::string& text,
                                      std::vector<SettingFault>& faults) {
  std::vector<FormSection> form;
  for (const IniSection& section :
       IniFile::Parse("document", text, faults).sections) {
    if (SchemaOf(section.type) == nullptr) {
      faults.push_back({"document", section.line, section.heading(), "",
                        "unknown section, left out of the form"});
      continue;
    }
    FormSection& target =
        form.emplace_back(FormSection{section.type, section.name, {}});
    for (const auto& [key, value] : section.values)
      target.values[key] = value.text;
  }
  return form;
}

std::string FieldName(std::size_t section, const std::string& key) {
  return "s" + std::to_string(section) + "." + (key.empty() ? kNameKey : key);
}

std::vector<FormSection> FormFromFields(const FormFields& fields) {
  std::map<unsigned, FormSection> sections;
  for (const auto& [name, value] : fields) {
    std::optional<std::pair<unsigned, std::string>> place = SplitName(name);
    if (!place)
      continue;
    FormSection& section = sections[place->first];
    std::string text = boost::algorithm::trim_copy(value);
    if (place->second == kTypeKey)
      section.type = text;
    else if (place->second == kNameKey)
      section.name = text;
    else
      section.values[place->second] = text;
  }
  std::vector<FormSection> form;
  for (auto& [number, section] : sections) {
    if (SchemaOf(section.type) != nullptr)
      form.push_back(std::move(section));
  }
  return form;
}

FormFields FieldsFromForm(const std::vector<FormSection>& form) {
  FormFields fields;
  for (std::size_t n = 0; n < form.size(); ++n) {
    fields.emplace_back(FieldName(n, kTypeKey), form[n].type);
    fields.emplace_back(FieldName(n, ""), form[n].name);
    for (const auto& [key, value] : form[n].values)
      fields.emplace_back(FieldName(n, key), value);
  }
  return fields;
}

FormCheck CheckForm(const std::vector<FormSection>& form) {
  FormCheck check;
  FormWriter writer(check.faults);
  for (std::size_t n = 0; n < form.size(); ++n)
    writer.Add(static_cast<int>(n), form[n]);
  std::set<std::pair<int, std::string>> known;
  for (const FormFault& it : check.faults)
    known.emplace(it.section, it.key);
  ParsedDocument parsed = ParseDocument(writer.text(), "form");
  for (const SettingFault& it : parsed.faults) {
    int index = writer.IndexOf(it.section);
    // The parser reports values that the writer left out as missing. Their
    // fault is already known.
    if (!known.contains({index, it.key}))
      check.faults.push_back({index, it.key, it.message});
  }
  if (check.faults.empty())
    check.text = CanonicalText(parsed.document);
  return check;
}

}  // namespace jujubecove

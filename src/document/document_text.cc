#include "document/document_text.h"

#include <openssl/sha.h>

#include <utility>

#include "base/hash.h"
#include "document/document_settings.h"

namespace jujubecove {
namespace {

using SectionValues = std::map<std::string, std::string>;
// Sections by heading.
using SectionTable = std::map<std::string, SectionValues>;

template <typename T>
void SetValue(SectionValues& values,
              const Setting<T>& setting,
              const T& value) {
  values[setting.key()] = setting.Format(value);
}

SectionValues ToSectionValues(const KindSpec& kind) {
  const KindSettings& keys = DeclaredKindSettings();
  SectionValues values;
  SetValue(values, keys.service, kind.service.value());
  SetValue(values, keys.urgency, kind.urgency);
  SetValue(values, keys.deadline, kind.deadline);
  SetValue(values, keys.least_coverage, kind.least_coverage);
  SetValue(values, keys.partial, kind.partial);
  SetValue(values, keys.snapshot, kind.snapshot);
  SetValue(values, keys.idempotent, kind.idempotent);
  SetValue(values, keys.hedge, kind.hedge);
  SetValue(values, keys.addressing, kind.addressing);
  SetValue(values, keys.merge, kind.merge);
  // Other merge rules do not accept the keys of first_k.
  if (kind.merge == MergeRule::kFirstK) {
    SetValue(values, keys.merge_key, kind.merge_key);
    SetValue(
        values, keys.merge_order,
        kind.descending ? MergeOrder::kDescending : MergeOrder::kAscending);
    SetValue(values, keys.merge_limit, kind.merge_limit);
  }
  return values;
}

SectionValues ToSectionValues(const ServiceSpec& service) {
  const ServiceSettings& keys = DeclaredServiceSettings();
  SectionValues values;
  SetValue(values, keys.shards, service.shards);
  SetValue(values, keys.replicas, service.replicas);
  SetValue(values, keys.slots, service.slots);
  SetValue(values, keys.connections, service.connections);
  SetValue(values, keys.connect_cost, service.connect_cost);
  SetValue(values, keys.expected_latency, service.expected_latency);
  return values;
}

std::string FormatTable(const SectionTable& table) {
  std::string text;
  for (const auto& [heading, values] : table) {
    text += (text.empty() ? "[" : "\n[") + heading + "]\n";
    for (const auto& [key, value] : values) {
      text += key;
      text += " = ";
      text += value;
      text += '\n';
    }
  }
  return text;
}

// Removes the first line from `text` and returns it.
std::string_view TakeLine(std::string_view& text) {
  std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return line;
}

// The general INI parser takes several times as long, and each daemon would
// spend that time on each change of the document.
SectionTable ParseCanonicalText(std::string_view text) {
  constexpr std::string_view kSeparator = " = ";
  SectionTable table;
  auto section = table.end();
  while (!text.empty()) {
    std::string_view line = TakeLine(text);
    std::size_t separator = line.find(kSeparator);
    if (line.starts_with('[') && line.ends_with(']')) {
      section = table.try_emplace(table.end(),
                                  std::string(line.substr(1, line.size() - 2)));
    } else if (section != table.end() && separator != std::string_view::npos) {
      section->second.insert_or_assign(
          section->second.end(), std::string(line.substr(0, separator)),
          std::string(line.substr(separator + kSeparator.size())));
    }
  }
  return table;
}

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t n = 0; n < size; ++n) {
    text += kHexDigits[bytes[n] >> 4U];
    text += kHexDigits[bytes[n] & 15U];
  }
  return text;
}

void DiffSection(const std::string& heading,
                 const SectionValues& old_values,
                 const SectionValues& new_values,
                 std::vector<DocumentChange>& changes) {
  using Type = DocumentChange::Type;
  SectionValues keys = old_values;
  keys.insert(new_values.begin(), new_values.end());
  for (const auto& [key, unused] : keys) {
    auto before = old_values.find(key);
    auto after = new_values.find(key);
    if (before == old_values.end())
      changes.push_back({Type::kAdded, heading, key, "", after->second});
    else if (after == new_values.end())
      changes.push_back({Type::kRemoved, heading, key, before->second, ""});
    else if (before->second != after->second)
      changes.push_back(
          {Type::kChanged, heading, key, before->second, after->second});
  }
}

constexpr std::string_view kFromPrefix = "from ";
constexpr std::string_view kToPrefix = "to ";

// Applies one line of a delta: "+HEADING" and "-HEADING" add and remove a
// section, "@HEADING" selects one, "=KEY VALUE" and "!KEY" set and remove a key
// of the selected section. Returns false if the line does not fit the table.
bool ApplyDeltaLine(std::string_view line,
                    SectionTable& table,
                    SectionTable::iterator& selected) {
  if (line.size() < 2)
    return false;
  std::string rest(line.substr(1));
  switch (line[0]) {
    case '+': {
      auto [it, inserted] = table.try_emplace(rest);
      selected = it;
      return inserted;
    }
    case '-':
      selected = table.end();
      return table.erase(rest) == 1;
    case '@':
      selected = table.find(rest);
      return selected != table.end();
    case '!':
      return selected != table.end() && selected->second.erase(rest) == 1;
    case '=': {
      std::size_t space = rest.find(' ');
      if (selected == table.end() || space == std::string::npos)
        return false;
      selected->second[rest.substr(0, space)] = rest.substr(space + 1);
      return true;
    }
    default:
      return false;
  }
}

Error DeltaError(const std::string& detail) {
  return Error{ErrorKind::kBadRequest, "document delta: " + detail};
}

}  // namespace

std::string CanonicalText(const Document& document) {
  SectionTable table;
  for (const auto& [name, kind] : document.kinds)
    table["kind " + name.value()] = ToSectionValues(kind);
  for (const auto& [name, service] : document.services)
    table["service " + name.value()] = ToSectionValues(service);
  return FormatTable(table);
}

ContentHash HashOfText(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  return ContentHash{Hash64(text), ToHex(digest, sizeof(digest))};
}

std::vector<DocumentChange> DiffTexts(const std::string& old_text,
                                      const std::string& new_text) {
  using Type = DocumentChange::Type;
  SectionTable before = ParseCanonicalText(old_text);
  SectionTable after = ParseCanonicalText(new_text);
  SectionTable headings = before;
  headings.insert(after.begin(), after.end());
  std::vector<DocumentChange> changes;
  for (const auto& [heading, unused] : headings) {
    auto old_section = before.find(heading);
    auto new_section = after.find(heading);
    if (new_section == after.end()) {
      changes.push_back({Type::kRemoved, heading, "", "", ""});
      continue;
    }
    if (old_section == before.end())
      changes.push_back({Type::kAdded, heading, "", "", ""});
    DiffSection(
        heading,
        old_section == before.end() ? SectionValues() : old_section->second,
        new_section->second, changes);
  }
  return changes;
}

std::string MakeDelta(const std::string& old_text,
                      const std::string& new_text) {
  using Type = DocumentChange::Type;
  std::string delta;
  delta += std::string(kFromPrefix) + HashOfText(old_text).sha256 + "\n";
  delta += std::string(kToPrefix) + HashOfText(new_text).sha256 + "\n";
  std::string selected;
  for (const DocumentChange& change : DiffTexts(old_text, new_text)) {
    if (change.key.empty()) {
      delta += (change.type == Type::kAdded ? "+" : "-") + change.section;
      selected = change.section;
    } else {
      if (change.section != selected)
        delta += "@" + change.section + "\n";
      selected = change.section;
      delta += change.type == Type::kRemoved
                   ? "!" + change.key
                   : "=" + change.key + " " + change.new_value;
    }
    delta += "\n";
  }
  return delta;
}

Result<std::string> ApplyDelta(const std::string& old_text,
                               const std::string& delta) {
  std::string_view rest = delta;
  std::string_view from = TakeLine(rest);
  std::string_view to = TakeLine(rest);
  if (!from.starts_with(kFromPrefix) || !to.starts_with(kToPrefix))
    return DeltaError("the hashes are missing");
  if (from.substr(kFromPrefix.size()) != HashOfText(old_text).sha256)
    return DeltaError("made for another document");
  SectionTable table = ParseCanonicalText(old_text);
  SectionTable::iterator selected = table.end();
  while (!rest.empty()) {
    if (!ApplyDeltaLine(TakeLine(rest), table, selected))
      return DeltaError("a line does not fit the document");
  }
  std::string text = FormatTable(table);
  if (to.substr(kToPrefix.size()) != HashOfText(text).sha256)
    return DeltaError("the result is not the document it was made from");
  return text;
}

}  // namespace jujubecove

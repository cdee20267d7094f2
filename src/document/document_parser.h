#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "document/document.h"
#include "settings/setting_fault.h"
#include "settings/settings.h"

namespace jujubecove {

// The platform's store holds no larger values.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024;

// The sections and keys that a document may have.
const SettingsSchema& DocumentSchema();

struct ParsedDocument {
  // Complete only if there are no faults. The version stays zero.
  Document document;
  // All faults, sorted by line.
  std::vector<SettingFault> faults;

  bool ok() const { return faults.empty(); }
};

// Parses and validates the operators' document. `file` is its name in faults.
ParsedDocument ParseDocument(const std::string& text, const std::string& file);

// Returns a commented document with every key, its default and its accepted
// values.
std::string DescribeDocument();

}  // namespace jujubecove

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "document/document.h"
#include "settings/setting_fault.h"
#include "settings/settings.h"

namespace jujubecove {

// Largest document in bytes, which is the largest value that the platform's
// store holds.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024;

// The sections of a document with their declarations.
const SettingsSchema& DocumentSchema();

struct ParsedDocument {
  // Complete only if there are no faults. Its version is left at zero.
  Document document;
  // Every fault, in the order of the lines.
  std::vector<SettingFault> faults;

  bool ok() const { return faults.empty(); }
};

// Reads and validates the operators' document. `file` only names it in faults.
ParsedDocument ParseDocument(const std::string& text, const std::string& file);

// A commented document with every key, its default and what is accepted.
std::string DescribeDocument();

}  // namespace jujubecove

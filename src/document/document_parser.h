#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "document/document.h"
#include "settings/setting.h"
#include "settings/setting_fault.h"
#include "settings/settings.h"

namespace jujubecove {

// Largest document in bytes, which is the largest value that the platform's
// store holds.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024;

enum class MergeOrder : std::uint8_t { kAscending, kDescending };

// The declarations of all keys of [kind NAME] sections.
struct KindSettings {
  Setting<std::string> service;
  Setting<Urgency> urgency;
  Setting<Duration> deadline;
  Setting<double> least_coverage;
  Setting<bool> partial;
  Setting<bool> snapshot;
  Setting<bool> idempotent;
  Setting<bool> hedge;
  Setting<Addressing> addressing;
  Setting<MergeRule> merge;
  Setting<std::string> merge_key;
  Setting<MergeOrder> merge_order;
  Setting<std::uint32_t> merge_limit;
};

// The declarations of all keys of [service NAME] sections.
struct ServiceSettings {
  Setting<std::uint32_t> shards;
  Setting<std::uint32_t> replicas;
  Setting<std::uint32_t> slots;
  Setting<std::uint32_t> connections;
  Setting<Duration> connect_cost;
  Setting<Duration> expected_latency;
};

const KindSettings& DeclaredKindSettings();
const ServiceSettings& DeclaredServiceSettings();
// The sections of a document with these declarations.
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

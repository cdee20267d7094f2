#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace jujubecove {

// Keys and values of the configuration in the platform's store.

// The version in force; written by one compare-and-swap for each activation.
inline constexpr char kActiveKey[] = "config/active";
// The newest proposal, which daemons fetch before it is activated.
inline constexpr char kProposalKey[] = "config/staged";
// The canonical text of a version; written once, before the version is
// proposed.
std::string DocumentKey(ConfigVersion version);
// What the daemons of a zone hold; written by relays of that zone.
std::string ZoneKey(const std::string& zone);

struct VersionIdentity {
  ConfigVersion version;
  // Hash64 of the canonical text.
  std::uint64_t hash = 0;
  std::string sha256;

  friend bool operator==(const VersionIdentity&,
                         const VersionIdentity&) = default;
};

// Earlier versions that the active record lists, the newest first. They tell an
// operator whose reply was lost whether a version was ever in force. At one
// change every 6.2 s they cover 100 s.
inline constexpr std::size_t kHistoryLength = 16;

struct PastVersion {
  ConfigVersion version;
  std::uint64_t hash = 0;

  friend bool operator==(const PastVersion&, const PastVersion&) = default;
};

struct ActiveRecord {
  VersionIdentity active;
  std::vector<PastVersion> history;
};

struct ProposalRecord {
  VersionIdentity proposed;
  ConfigVersion base;
  // Leads from the base to the proposed text; empty if it would be too large.
  std::string delta;
};

// A proposal that carries a larger delta leaves it out: each reader would
// receive it with each watch.
inline constexpr std::size_t kMaxProposalDeltaBytes = 64UL * 1024;

struct ZoneRecord {
  // The newest version that is proposed or in force.
  ConfigVersion version;
  std::uint64_t hash = 0;
  // Daemons of the zone: all, those that hold the version, and those where it
  // is in force.
  std::uint64_t live = 0;
  std::uint64_t staged = 0;
  std::uint64_t active = 0;
  // The oldest version that is in force at a live daemon of the zone.
  ConfigVersion least_active;
  // Addresses of some of the daemons that don't hold the version.
  std::vector<std::string> waiting;
  // Why a daemon can't use the version; empty if all can.
  std::string rejection;

  bool all_staged() const { return live > 0 && staged == live; }
  friend bool operator==(const ZoneRecord&, const ZoneRecord&) = default;
};

std::string FormatRecord(const ActiveRecord& record);
std::string FormatRecord(const ProposalRecord& record);
std::string FormatRecord(const ZoneRecord& record);
std::optional<ActiveRecord> ParseActiveRecord(std::string_view text);
std::optional<ProposalRecord> ParseProposalRecord(std::string_view text);
std::optional<ZoneRecord> ParseZoneRecord(std::string_view text);

}  // namespace jujubecove

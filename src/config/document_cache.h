#pragma once

#include <Peer.h>

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/result.h"
#include "document/document.h"
#include "document/document_text.h"

namespace jujubecove {

// A version of the document that was checked against its hash and is valid.
struct HeldDocument {
  ContentHash hash;
  std::string text;
  // Its version is set.
  Document document;
};

// The newest few versions that a daemon holds, from which it serves its peers.
class DocumentCache {
 public:
  using Held = std::shared_ptr<const HeldDocument>;

  // Checks and keeps a canonical text. Every error is final for that text.
  Result<Held> Add(ConfigVersion version,
                   std::string text,
                   const std::string& sha256);
  // Nothing when the version is not held.
  Held Find(ConfigVersion version) const;
  // The newest version that is held up to `limit`; zero when there is none.
  ConfigVersion NewestUpTo(ConfigVersion limit) const;
  void Drop(ConfigVersion version) { held_.erase(version); }
  // Drops what is no longer needed once `active` is in force.
  void Trim(ConfigVersion active);

  wire::DocumentReply MakeDeltaReply(ConfigVersion from, ConfigVersion to);
  wire::DocumentReply MakeDocumentReply(ConfigVersion version) const;

 private:
  std::map<ConfigVersion, Held> held_;
  // Computing a delta parses two documents; every peer asks for the same one.
  std::map<std::pair<ConfigVersion, ConfigVersion>, std::string> deltas_;
};

}  // namespace jujubecove

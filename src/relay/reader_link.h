#pragma once

#include <functional>
#include <optional>

#include "discovery/daemon_entry.h"
#include "relay/store_changes.h"

namespace jujubecove {

// Calls other entry daemons for changes in the store.
class ReaderLink {
 public:
  // There is no reply if none came in time.
  using Done = std::function<void(std::optional<ChangesReply>)>;

  virtual ~ReaderLink() = default;
  // Calls `done` exactly once, after this call has returned.
  virtual void Poll(const DaemonEntry& reader,
                    const ChangesQuery& query,
                    Duration timeout,
                    Done done) = 0;
};

}  // namespace jujubecove

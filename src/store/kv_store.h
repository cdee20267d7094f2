#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "base/units.h"

namespace jujubecove {

// Position in the history of the key-value store; grows with every change.
using StoreRevision = StrongId<struct StoreRevisionTag, std::int64_t>;
// Rises by one when the store has come back from an older copy of itself.
// Changes and leases after that copy are gone and their revisions are given out
// again. Zero if the store does not tell.
using StoreEra = StrongId<struct StoreEraTag, std::int64_t>;
// Zero means no lease.
using StoreLease = StrongId<struct StoreLeaseTag, std::int64_t>;

// A revision and the only era in which it can be compared with others.
struct StorePosition {
  StoreEra era;
  StoreRevision revision;
};

// One key with its value, or the removal of a key.
struct KvItem {
  std::string key;
  std::string value;
  StoreRevision revision;
  bool removed = false;
};

enum class KvStatus : std::uint8_t {
  kOk,
  // The condition of a write did not hold.
  kConflict,
  kNotFound,
  // The history after the requested revision has been compacted.
  kCompacted,
  // The store refused the call; nothing was done.
  kRefused,
  // There was no answer. A write may have been applied or may still be applied.
  kUnknown,
};

struct KvPage {
  KvStatus status = KvStatus::kUnknown;
  // Whether any byte of the call may have reached the store.
  bool sent = true;
  std::vector<KvItem> items;
  bool has_more = false;
  // Also of an answer that refuses the call.
  StoreEra era;
  StoreRevision current_revision;
  // How long to wait before the next watch, so that it collects changes, if
  // these items are not the only ones to come. The caller decides if not set.
  std::optional<Duration> batch_delay;
  // The store may not have served others for this time until recently.
  Duration outage{};
};

struct KvWriteResult {
  KvStatus status = KvStatus::kUnknown;
  StoreRevision revision;
  StoreEra era;
};

struct KvLeaseResult {
  KvStatus status = KvStatus::kUnknown;
  StoreLease lease;
  StoreEra era;
};

// The platform's key-value store. Each call invokes its callback exactly once.
class KvStore {
 public:
  virtual ~KvStore() = default;

  // Reads one page of the keys with `prefix`, starting after key `after`.
  virtual void Range(const std::string& prefix,
                     const std::string& after,
                     std::function<void(KvPage)> done) = 0;
  // Returns the changes after position `after` as soon as there are any, or
  // none after `wait`. The result may be of a later era.
  virtual void Watch(const std::string& prefix,
                     StorePosition after,
                     Duration wait,
                     std::function<void(KvPage)> done) = 0;
  // How long a watch waits that is asked to wait for `wait`.
  virtual Duration WatchWait(Duration wait) const { return wait; }
  virtual void Put(const std::string& key,
                   const std::string& value,
                   StoreLease lease,
                   std::function<void(KvWriteResult)> done) = 0;
  virtual void Delete(const std::string& key,
                      std::function<void(KvWriteResult)> done) = 0;
  virtual void GrantLease(Duration ttl,
                          std::function<void(KvLeaseResult)> done) = 0;
  virtual void RenewLease(StoreLease lease,
                          std::function<void(KvLeaseResult)> done) = 0;
};

}  // namespace jujubecove

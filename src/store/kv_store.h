#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "base/units.h"

namespace jujubecove {

// Position in the history of the key-value store; grows with every change.
using StoreRevision = StrongId<struct StoreRevisionTag, std::int64_t>;
// A lease of the store; zero means none.
using StoreLease = StrongId<struct StoreLeaseTag, std::int64_t>;

// One key as the store holds it, or the fact that it was removed.
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
  // The history after the requested revision is no longer available.
  kCompacted,
  // The store refused the call; nothing was done.
  kRefused,
  // No answer came. A write may have been done, or may be done later.
  kUnknown,
};

struct KvPage {
  KvStatus status = KvStatus::kUnknown;
  std::vector<KvItem> items;
  bool has_more = false;
  StoreRevision current_revision;
};

struct KvWriteResult {
  KvStatus status = KvStatus::kUnknown;
  StoreRevision revision;
};

struct KvLeaseResult {
  KvStatus status = KvStatus::kUnknown;
  StoreLease lease;
};

// The platform's key-value store. Each call ends with exactly one callback.
class KvStore {
 public:
  virtual ~KvStore() = default;

  // One page of the keys that begin with `prefix`, from the one after `after`.
  virtual void Range(const std::string& prefix,
                     const std::string& after,
                     std::function<void(KvPage)> done) = 0;
  // The changes after `after`, as soon as there is one, or none after `wait`.
  virtual void Watch(const std::string& prefix,
                     StoreRevision after,
                     Duration wait,
                     std::function<void(KvPage)> done) = 0;
  virtual void Put(const std::string& key,
                   const std::string& value,
                   StoreLease lease,
                   std::function<void(KvWriteResult)> done) = 0;
  virtual void Delete(const std::string& key,
                      std::function<void(KvWriteResult)> done) = 0;
  virtual void GrantLease(Duration ttl,
                          std::function<void(KvLeaseResult)> done) = 0;
  virtual void RenewLease(StoreLease lease,
                          std::function<void(KvStatus)> done) = 0;
};

}  // namespace jujubecove

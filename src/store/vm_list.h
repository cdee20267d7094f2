#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/strong_id.h"
#include "store/store.h"

namespace jujubecove {

// Revision of the platform's VM list; a larger one is newer, zero means none.
using VmListRevision = StrongId<struct VmListRevisionTag, std::uint64_t>;

enum class VmRole : std::uint8_t { kEntry, kSearcher };

// One VM as the platform lists it. The list lags behind reality.
struct VmRecord {
  VmId id;
  // "ip:port": of the peer protocol for an entry VM, of the searcher protocol
  // for a searcher.
  std::string address;
  ZoneName zone;
  VmRole role = VmRole::kEntry;
  // Of a searcher; empty for an entry VM.
  ServiceName service;
  bool leaving = false;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

struct VmListReply {
  // kDone, kUnavailable, or kNotFound when the list is still at the revision
  // that the caller has.
  StoreStatus status = StoreStatus::kUnavailable;
  VmListRevision revision;
  std::vector<VmRecord> vms;
};

// The platform's list of live and leaving VMs. Calls return at once; the
// handler runs later on the caller's thread, exactly once for each call.
class VmList {
 public:
  using VmHandler = std::function<void(VmListReply)>;

  virtual ~VmList() = default;

  // Fetches the list if it is newer than `known`.
  virtual void Fetch(VmListRevision known, VmHandler handler) = 0;
  void Fetch(VmHandler handler) { Fetch(VmListRevision(), std::move(handler)); }
};

}  // namespace jujubecove

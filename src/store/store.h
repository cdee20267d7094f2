#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/strong_id.h"
#include "base/units.h"

namespace jujubecove {

// Revision of a key in the store; zero means that the key does not exist.
using StoreRevision = StrongId<struct StoreRevisionTag, std::uint64_t>;

enum class StoreStatus : std::uint8_t {
  kDone,
  // The key is at another revision than was expected; nothing was written.
  kConflict,
  kNotFound,
  // Proven not to have taken effect.
  kUnavailable,
  // The request may have taken effect and the reply was lost.
  kUnknown,
  // The history that a watch asked for has been compacted; read again.
  kCompacted,
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  StoreRevision revision;
  std::string value;
};

struct LeaseReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t token = 0;
  Duration time_to_live{};
};

// The platform's key-value service. Calls return at once; the handler runs
// later on the caller's thread, exactly once for each call.
class Store {
 public:
  using Handler = std::function<void(StoreReply)>;
  using LeaseHandler = std::function<void(LeaseReply)>;

  virtual ~Store() = default;

  virtual void Read(const std::string& key, Handler handler) = 0;
  // Writes `value` if the key is still at `expected`.
  virtual void CompareAndSwap(const std::string& key,
                              StoreRevision expected,
                              std::string value,
                              Handler handler) = 0;
  virtual void AcquireLease(const std::string& name,
                            const std::string& holder,
                            Duration time_to_live,
                            LeaseHandler handler) = 0;
  // Answers when the key passes `after`, or with kNotFound at `timeout`.
  virtual void Watch(const std::string& key,
                     StoreRevision after,
                     Duration timeout,
                     Handler handler) = 0;
};

}  // namespace jujubecove

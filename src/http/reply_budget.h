#pragma once

#include <cstddef>
#include <unordered_map>

namespace jujubecove {

// Limits the memory that the incomplete replies on all connections of a daemon
// take together. Small replies are not counted, so that large ones can't make
// them fail. When the limit is reached, the largest reply is given up.
class ReplyBudget {
 public:
  // A reply that is being received.
  class Holder {
   public:
    virtual ~Holder() = default;
    // The reply was the largest one and has to be given up. The holder no
    // longer counts.
    virtual void OnEvicted() = 0;
  };

  // Replies up to this size do not count.
  static constexpr std::size_t kUncountedBytes = 16384;

  explicit ReplyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Sets the size of the holder's reply. May evict this or other holders.
  void Update(Holder& holder, std::size_t reply_bytes);
  // The holder's reply is complete or was given up.
  void Release(Holder& holder);

  std::size_t used() const { return used_; }

 private:
  std::size_t max_bytes_;
  std::size_t used_ = 0;
  std::unordered_map<Holder*, std::size_t> counted_;
};

}  // namespace jujubecove

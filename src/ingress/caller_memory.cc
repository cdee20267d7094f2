#include "ingress/caller_memory.h"

#include <malloc.h>

namespace jujubecove {
namespace {

// A caller that reads takes its answer within this time.
constexpr Duration kAnswerReadTime = std::chrono::seconds(2);
// Share of the limit that is reclaimed between two trims of the heap.
constexpr std::size_t kTrimsPerLimit = 8;

}  // namespace

void CallerMemory::Update(Holder& holder,
                          std::size_t bytes,
                          Use use,
                          TimePoint since) {
  Claim& claim = claims_[&holder];
  used_ = used_ - claim.bytes + bytes;
  claim = Claim{bytes, use, since};
  while (used_ > max_bytes_) {
    Claims::const_iterator victim = ChooseVictim();
    if (victim == claims_.end())
      return;
    Reclaim(victim);
  }
}

void CallerMemory::Remove(Holder& holder) {
  auto it = claims_.find(&holder);
  if (it == claims_.end())
    return;
  used_ -= it->second.bytes;
  claims_.erase(it);
}

CallerMemory::Claims::const_iterator CallerMemory::ChooseVictim() const {
  auto largest_request = claims_.end();
  auto oldest_answer = claims_.end();
  for (auto it = claims_.begin(); it != claims_.end(); ++it) {
    const Claim& claim = it->second;
    if (claim.bytes <= floor_)
      continue;
    if (claim.use == Use::kRequest &&
        (largest_request == claims_.end() ||
         claim.bytes > largest_request->second.bytes))
      largest_request = it;
    if (claim.use == Use::kAnswer &&
        (oldest_answer == claims_.end() ||
         claim.since < oldest_answer->second.since))
      oldest_answer = it;
  }
  bool is_unread =
      oldest_answer != claims_.end() &&
      timers_.Now() - oldest_answer->second.since >= kAnswerReadTime;
  return is_unread || largest_request == claims_.end() ? oldest_answer
                                                       : largest_request;
}

void CallerMemory::Reclaim(Claims::const_iterator victim) {
  Holder* holder = victim->first;
  std::size_t bytes = victim->second.bytes;
  ++(victim->second.use == Use::kRequest ? refused_ : dropped_);
  Remove(*holder);
  holder->OnReclaimed();
  Trim(bytes);
}

// The heap keeps freed blocks between used ones, which for the bodies of many
// connections is a multiple of what is in use.
void CallerMemory::Trim(std::size_t reclaimed_bytes) {
  untrimmed_ += reclaimed_bytes;
  if (untrimmed_ < max_bytes_ / kTrimsPerLimit)
    return;
  untrimmed_ = 0;
  malloc_trim(0);
}

}  // namespace jujubecove

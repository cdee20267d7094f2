#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "kernel/timer_service.h"

namespace jujubecove {

// Limits the memory that the connections of all callers take together. Load
// that it answers: many connections each of which stays inside the limits for
// one, with requests that are never complete or answers that are never read.
//
// Over the limit, connections give up their memory in this order: those with
// the oldest unread answers, if these have waited for some time; those with the
// largest incomplete requests; those with other unsent answers, the oldest
// first. A request in progress is never given up, nor is a connection that
// takes at most its floor, so that ordinary callers are served meanwhile.
class CallerMemory {
 public:
  // What a connection's memory is used for.
  enum class Use : std::uint8_t { kRequest, kRunning, kAnswer };

  // A caller's connection.
  class Holder {
   public:
    virtual ~Holder() = default;
    // Gives up the memory. The holder no longer counts until its next Update.
    virtual void OnReclaimed() = 0;
  };

  // `floor` is the memory that each connection may take at any time.
  CallerMemory(TimerService& timers, std::size_t max_bytes, std::size_t floor)
      : timers_(timers), max_bytes_(max_bytes), floor_(floor) {}

  // Sets what the holder takes, and since when for this use. May reclaim the
  // memory of this or other holders.
  void Update(Holder& holder, std::size_t bytes, Use use, TimePoint since);
  void Remove(Holder& holder);

  std::size_t used() const { return used_; }
  // Requests refused and answers dropped since the start.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Claim {
    std::size_t bytes = 0;
    Use use = Use::kRequest;
    TimePoint since{};
  };
  using Claims = std::unordered_map<Holder*, Claim>;

  // Returns the claim to give up next, if any can be.
  Claims::const_iterator ChooseVictim() const;
  void Reclaim(Claims::const_iterator victim);
  // Returns freed memory to the system after enough was reclaimed.
  void Trim(std::size_t reclaimed_bytes);

  TimerService& timers_;
  std::size_t max_bytes_;
  std::size_t floor_;
  std::size_t used_ = 0;
  std::size_t untrimmed_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t dropped_ = 0;
  Claims claims_;
};

}  // namespace jujubecove

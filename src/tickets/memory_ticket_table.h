#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tickets/ticket_codec.h"
#include "tickets/ticket_options.h"

namespace jujubecove {

// Keeps used tickets in memory. Unused tickets take no memory, since they are
// verified by their MAC. A record may be dropped once its ticket has expired,
// because expired tickets are refused.
class MemoryTicketTable : public TicketTable {
 public:
  MemoryTicketTable(TimerService& timers, TicketOptions options);

  Result<std::vector<std::string>> Issue(std::size_t count) override;
  Result<TicketOwner> OwnerOf(const std::string& ticket) const override;
  bool Owns(const TicketOwner& owner) const override;
  Result<TicketBeginResult> Begin(const std::string& ticket,
                                  std::uint64_t fingerprint,
                                  Waiter waiter) override;
  void Finish(const std::string& ticket, TicketOutcome outcome) override;
  std::size_t size() const override { return records_.size(); }

 private:
  // Issue offset and sequence number, so that records are ordered by expiry.
  using Key = std::pair<Duration, std::uint64_t>;

  struct Record {
    std::uint64_t fingerprint = 0;
    std::optional<TicketOutcome> outcome;
    std::vector<Waiter> waiters;
  };

  Duration Elapsed() const { return timers_.Now() - start_; }
  bool IsFull() const;
  void DropExpired();
  Error RefuseWhenFull(const Key& key);
  Result<TicketBeginResult> BeginDuplicate(Record& record,
                                           std::uint64_t fingerprint,
                                           Waiter waiter);

  TimerService& timers_;
  TicketOptions options_;
  TimePoint start_;
  std::uint64_t next_sequence_ = 1;
  std::size_t answer_bytes_ = 0;
  std::map<Key, Record> records_;
  std::set<Key> refused_tickets_;
};

}  // namespace jujubecove

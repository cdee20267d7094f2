#pragma once

#include <Peer.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// What this daemon believes of every incarnation of an entry daemon, merged
// from claims that arrive in any order and any number of times. A claim wins by
// its sequence number, then by its state; a claim against this daemon itself is
// answered by a higher sequence number.
class MemberTable {
 public:
  struct Record {
    wire::Member member;
    // When the state was last changed here.
    TimePoint changed;
    // Messages that still have to carry the record.
    std::uint32_t sends_left = 0;
    // Calls that failed since the last success.
    std::uint32_t failures = 0;
    // When it last answered or called this daemon itself.
    std::optional<TimePoint> last_contact;
  };

  explicit MemberTable(wire::Member self);

  const wire::Member& self() const { return self_; }
  // Includes this daemon.
  const std::map<std::int64_t, Record>& records() const { return records_; }
  Record* Find(std::int64_t incarnation);
  // The record at that address that is not gone.
  Record* FindAddress(const std::string& address);

  // Merges a claim; true when it changed what is believed. Malformed claims are
  // ignored.
  bool Merge(const wire::Member& claim, TimePoint now);
  // Changes the state on this daemon's own evidence, at the sequence number
  // that is known. False when that claims nothing new.
  bool SetState(std::int64_t incarnation,
                wire::MemberState::type state,
                TimePoint now);
  void AnnounceLeaving(TimePoint now);
  // Drops incarnations that have been gone since `before`.
  void Forget(TimePoint before);

  // Takes at most `limit` changes that still have to spread, the least sent
  // first, and counts them as sent.
  std::vector<wire::Member> TakeChanges(std::size_t limit);
  bool has_changes() const { return changes_left_ > 0; }
  // At most `limit` records with incarnations after `after`.
  std::vector<wire::Member> Page(std::int64_t after,
                                 std::size_t limit,
                                 bool& more) const;

  // Hash of all records that are not gone; equal tables have equal digests.
  std::int64_t digest() const;
  // Raised by each change.
  std::uint64_t revision() const { return revision_; }

 private:
  void Changed(Record& record, TimePoint now);
  std::uint32_t SendsForSize() const;

  wire::Member self_;
  std::map<std::int64_t, Record> records_;
  // Sum of `sends_left`.
  std::uint64_t changes_left_ = 0;
  std::uint64_t revision_ = 1;
};

bool IsWellFormed(const wire::Member& member);

}  // namespace jujubecove

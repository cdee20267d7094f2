#include "membership/member_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "base/hash.h"

namespace jujubecove {
namespace {

using wire::MemberState;

constexpr std::size_t kMaxTextBytes = 128;
// Incarnations that are remembered; beyond them new ones are ignored, so that
// no peer can fill the memory. Twice the design size.
constexpr std::size_t kMaxRecords = 8'192;

bool Overrides(const wire::Member& claim, const wire::Member& known) {
  if (claim.sequence != known.sequence)
    return claim.sequence > known.sequence;
  return claim.state > known.state;
}

}  // namespace

bool IsWellFormed(const wire::Member& member) {
  return member.incarnation != 0 && member.sequence >= 0 &&
         member.state >= MemberState::LIVE &&
         member.state <= MemberState::GONE && !member.address.empty() &&
         member.id.size() <= kMaxTextBytes &&
         member.address.size() <= kMaxTextBytes &&
         member.zone.size() <= kMaxTextBytes;
}

MemberTable::MemberTable(wire::Member self) : self_(std::move(self)) {
  Record& record = records_[self_.incarnation];
  record.member = self_;
  Changed(record, TimePoint());
}

MemberTable::Record* MemberTable::Find(std::int64_t incarnation) {
  auto it = records_.find(incarnation);
  return it == records_.end() ? nullptr : &it->second;
}

MemberTable::Record* MemberTable::FindAddress(const std::string& address) {
  for (auto& [incarnation, record] : records_) {
    if (record.member.address == address &&
        record.member.state != MemberState::GONE)
      return &record;
  }
  return nullptr;
}

// Each daemon repeats a change often enough that the share of daemons that miss
// it, about e^-n after n random messages, is negligible at any size.
std::uint32_t MemberTable::SendsForSize() const {
  constexpr std::uint32_t kLeastSends = 4;
  return kLeastSends +
         static_cast<std::uint32_t>(std::bit_width(records_.size())) / 2;
}

void MemberTable::Changed(Record& record, TimePoint now) {
  record.changed = now;
  changes_left_ -= record.sends_left;
  record.sends_left = SendsForSize();
  changes_left_ += record.sends_left;
  ++revision_;
}

bool MemberTable::Merge(const wire::Member& claim, TimePoint now) {
  if (!IsWellFormed(claim))
    return false;
  if (claim.incarnation == self_.incarnation) {
    if (!Overrides(claim, self_))
      return false;
    self_.sequence = claim.sequence + 1;
    Record& record = records_[self_.incarnation];
    record.member = self_;
    Changed(record, now);
    return true;
  }
  auto it = records_.find(claim.incarnation);
  if (it == records_.end()) {
    if (records_.size() >= kMaxRecords)
      return false;
    Record& record = records_[claim.incarnation];
    record.member = claim;
    Changed(record, now);
    return true;
  }
  if (!Overrides(claim, it->second.member))
    return false;
  it->second.member = claim;
  it->second.failures = 0;
  Changed(it->second, now);
  return true;
}

bool MemberTable::SetState(std::int64_t incarnation,
                           MemberState::type state,
                           TimePoint now) {
  Record* record = Find(incarnation);
  if (record == nullptr || incarnation == self_.incarnation ||
      state <= record->member.state)
    return false;
  record->member.state = state;
  Changed(*record, now);
  return true;
}

void MemberTable::AnnounceLeaving(TimePoint now) {
  ++self_.sequence;
  self_.state = MemberState::LEAVING;
  Record& record = records_[self_.incarnation];
  record.member = self_;
  Changed(record, now);
}

void MemberTable::Forget(TimePoint before) {
  std::size_t erased = std::erase_if(records_, [&](const auto& entry) {
    if (entry.second.member.state != MemberState::GONE ||
        entry.second.changed >= before)
      return false;
    changes_left_ -= entry.second.sends_left;
    return true;
  });
  if (erased > 0)
    ++revision_;
}

std::vector<wire::Member> MemberTable::TakeChanges(std::size_t limit) {
  std::vector<Record*> due;
  if (changes_left_ == 0)
    return {};
  for (auto& [incarnation, record] : records_) {
    if (record.sends_left > 0)
      due.push_back(&record);
  }
  std::size_t count = std::min(limit, due.size());
  std::partial_sort(due.begin(),
                    due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                    [](const Record* left, const Record* right) {
                      return left->sends_left > right->sends_left;
                    });
  std::vector<wire::Member> changes;
  for (std::size_t n = 0; n < count; ++n) {
    --due[n]->sends_left;
    --changes_left_;
    changes.push_back(due[n]->member);
  }
  return changes;
}

std::vector<wire::Member> MemberTable::Page(std::int64_t after,
                                            std::size_t limit,
                                            bool& more) const {
  std::vector<wire::Member> page;
  auto it = records_.upper_bound(after);
  for (; it != records_.end() && page.size() < limit; ++it)
    page.push_back(it->second.member);
  more = it != records_.end();
  return page;
}

std::int64_t MemberTable::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [incarnation, record] : records_) {
    if (record.member.state == MemberState::GONE)
      continue;
    std::int64_t fields[] = {incarnation, record.member.sequence,
                             record.member.state};
    digest ^= Hash64(std::string_view(reinterpret_cast<const char*>(fields),
                                      sizeof(fields)));
  }
  return static_cast<std::int64_t>(digest);
}

}  // namespace jujubecove

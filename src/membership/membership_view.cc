// What a Membership answers from its member table.

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "membership/membership.h"

namespace jujubecove {

using wire::MemberState;

const std::vector<wire::Member>& Membership::live() {
  if (live_revision_ == table_.revision())
    return live_;
  live_revision_ = table_.revision();
  live_.clear();
  for (const auto& [incarnation, record] : table_.records()) {
    // A suspect counts until it is gone: most suspicions are refuted.
    if (record.member.state == MemberState::LIVE ||
        record.member.state == MemberState::SUSPECT)
      live_.push_back(record.member);
  }
  return live_;
}

std::vector<wire::Member> Membership::RandomPeers(std::size_t count,
                                                  bool same_zone) {
  std::vector<wire::Member> peers;
  const wire::Member& self = table_.self();
  for (const wire::Member& member : live()) {
    if (member.incarnation != self.incarnation &&
        (member.zone == self.zone) == same_zone)
      peers.push_back(member);
  }
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > count)
    peers.resize(count);
  return peers;
}

std::vector<wire::Member> Membership::Choose(const std::string& zone,
                                             const std::string& key,
                                             std::size_t count) {
  std::vector<std::pair<std::uint64_t, const wire::Member*>> ranked;
  for (const wire::Member& member : live()) {
    if (member.zone == zone)
      ranked.emplace_back(
          Hash64(key, static_cast<std::uint64_t>(member.incarnation)), &member);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) {
              return left.first > right.first;
            });
  std::vector<wire::Member> chosen;
  for (std::size_t n = 0; n < ranked.size() && n < count; ++n)
    chosen.push_back(*ranked[n].second);
  return chosen;
}

bool Membership::IsChosen(const std::string& key, std::size_t count) {
  for (const wire::Member& member : Choose(table_.self().zone, key, count)) {
    if (member.incarnation == table_.self().incarnation)
      return true;
  }
  return false;
}

std::size_t Membership::share_count() {
  TimePoint now = timers_.Now();
  std::size_t count = 0;
  std::set<std::string> counted;
  for (const auto& [incarnation, record] : table_.records()) {
    bool announced = record.member.state != MemberState::GONE;
    if (!announced && now - record.changed >= options_.share_grace)
      continue;
    ++count;
    counted.insert(record.member.address);
  }
  for (const auto& [address, contact] : contacts_) {
    if (!contact.listed.leaving && !contact.answered &&
        contact.failures < options_.failures_to_suspect &&
        counted.count(address) == 0)
      ++count;
  }
  return std::max<std::size_t>(count, 1);
}

}  // namespace jujubecove

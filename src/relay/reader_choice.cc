#include "relay/reader_choice.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two, so that the daemons that follow a reader which fails have another one.
constexpr std::size_t kReaders = 2;
// A daemon that did not answer is asked again after this time, which doubles
// with each failure.
constexpr Duration kInitialDeadTime = seconds(2);
constexpr Duration kMaxDeadTime = seconds(30);
constexpr int kMaxDoublings = 4;
constexpr Duration kDeclinedTime = seconds(2);
// After this time without an answer, a reader has to prove itself with an
// answer that does not wait.
constexpr Duration kProvenTime = seconds(5);

}  // namespace

ReaderChoice::ReaderChoice(TimerService& timers, Options options)
    : timers_(timers), options_(std::move(options)) {}

void ReaderChoice::SetDaemons(const std::map<VmId, DaemonEntry>& daemons) {
  ranked_.clear();
  if (options_.min_daemons <= 0)
    return;
  for (const auto& [vm, entry] : daemons) {
    if (entry.zone == options_.zone && entry.peer_address)
      ranked_.push_back(entry);
  }
  std::sort(ranked_.begin(), ranked_.end(),
            [](const DaemonEntry& a, const DaemonEntry& b) {
              return std::pair(Hash64(a.vm.value()), a.vm) <
                     std::pair(Hash64(b.vm.value()), b.vm);
            });
  std::erase_if(observations_,
                [&](const auto& it) { return !daemons.contains(it.first); });
}

bool ReaderChoice::HasReaders() const {
  return options_.min_daemons > 0 && zone_size() >= options_.min_daemons;
}

bool ReaderChoice::IsOwnReader() const {
  std::vector<const DaemonEntry*> readers = Readers();
  return std::any_of(
      readers.begin(), readers.end(),
      [this](const DaemonEntry* it) { return it->vm == options_.own; });
}

std::vector<DaemonEntry> ReaderChoice::Candidates() const {
  std::vector<const DaemonEntry*> readers = Readers();
  if (readers.size() > 1 && Hash64(options_.own.value(), 1) % 2 == 1)
    std::rotate(readers.begin(), readers.begin() + 1, readers.end());
  std::vector<DaemonEntry> candidates;
  for (const DaemonEntry* it : readers) {
    const Observation* seen = Find(*it);
    bool declined = seen != nullptr && seen->declined_until > timers_.Now();
    if (it->vm != options_.own && !declined)
      candidates.push_back(*it);
  }
  return candidates;
}

std::vector<const DaemonEntry*> ReaderChoice::Readers() const {
  std::vector<const DaemonEntry*> readers;
  if (!HasReaders())
    return readers;
  for (const DaemonEntry& it : ranked_) {
    const Observation* seen = Find(it);
    if (seen != nullptr && seen->dead_until > timers_.Now())
      continue;
    readers.push_back(&it);
    if (readers.size() == kReaders)
      break;
  }
  return readers;
}

const ReaderChoice::Observation* ReaderChoice::Find(
    const DaemonEntry& daemon) const {
  auto it = observations_.find(daemon.vm);
  // What was seen of an earlier process says nothing about the next one.
  if (it == observations_.end() || it->second.incarnation != daemon.incarnation)
    return nullptr;
  return &it->second;
}

ReaderChoice::Observation& ReaderChoice::Observe(const VmId& vm) {
  Observation& seen = observations_[vm];
  auto it = std::find_if(ranked_.begin(), ranked_.end(),
                         [&](const DaemonEntry& it) { return it.vm == vm; });
  if (it != ranked_.end() && it->incarnation != seen.incarnation) {
    seen = Observation{};
    seen.incarnation = it->incarnation;
  }
  return seen;
}

bool ReaderChoice::IsProven(const VmId& vm) const {
  auto it = observations_.find(vm);
  return it != observations_.end() && it->second.proven_until > timers_.Now();
}

void ReaderChoice::OnCurrent(const VmId& vm) {
  Observation& seen = Observe(vm);
  seen.failures = 0;
  seen.proven_until = timers_.Now() + kProvenTime;
}

void ReaderChoice::OnDeclined(const VmId& vm) {
  Observation& seen = Observe(vm);
  seen.failures = 0;
  seen.proven_until = TimePoint{};
  seen.declined_until = timers_.Now() + kDeclinedTime;
}

void ReaderChoice::OnNoAnswer(const VmId& vm) {
  Observation& seen = Observe(vm);
  Duration time =
      std::min(kInitialDeadTime * (1 << std::min(seen.failures, kMaxDoublings)),
               kMaxDeadTime);
  ++seen.failures;
  seen.proven_until = TimePoint{};
  seen.dead_until = timers_.Now() + time;
}

}  // namespace jujubecove

#include "dispatch/attempt_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujubecove {
namespace {

// One of so many attempts is taken whatever its urgency.
constexpr std::uint32_t kAnyUrgencyInterval = 3;

// Spreads successive choices evenly over `count` attempts. Always the earliest
// deadline would be the same workspace's if arrivals are periodic.
std::ptrdiff_t SpreadIndex(std::uint32_t n, std::ptrdiff_t count) {
  constexpr std::uint32_t kMultiplier = 2'654'435'761U;
  constexpr unsigned kHighBits = 16;
  return static_cast<std::ptrdiff_t>((n * kMultiplier) >> kHighBits) % count;
}

}  // namespace

void AttemptQueue::Push(QueuedAttempt attempt) {
  has_urgencies_ = (has_urgencies_ && !attempts_.empty()) ||
                   attempt.attempt_options.urgency != 0;
  auto position = std::upper_bound(
      attempts_.begin(), attempts_.end(),
      attempt.attempt_options.target_write_time,
      [](TimePoint target_write_time, const QueuedAttempt& it) {
        return target_write_time < it.attempt_options.target_write_time;
      });
  attempts_.insert(position, std::move(attempt));
}

std::size_t AttemptQueue::NextIndex(TimePoint now) const {
  auto it = std::find_if(attempts_.begin(), attempts_.end(),
                         [now](const QueuedAttempt& it) {
                           return it.attempt_options.target_write_time >= now;
                         });
  if (it == attempts_.end())
    it = attempts_.begin();
  if (has_urgencies_ &&
      ranked_pops_ % kAnyUrgencyInterval == kAnyUrgencyInterval - 1) {
    it += SpreadIndex(ranked_pops_, std::distance(it, attempts_.end()));
  } else if (has_urgencies_) {
    it = std::min_element(it, attempts_.end(),
                          [](const QueuedAttempt& a, const QueuedAttempt& b) {
                            return a.attempt_options.urgency <
                                   b.attempt_options.urgency;
                          });
  }
  return static_cast<std::size_t>(std::distance(attempts_.begin(), it));
}

const QueuedAttempt& AttemptQueue::Next(TimePoint now) const {
  return attempts_[NextIndex(now)];
}

QueuedAttempt AttemptQueue::Pop(TimePoint now) {
  auto it = attempts_.begin() + static_cast<std::ptrdiff_t>(NextIndex(now));
  QueuedAttempt attempt = std::move(*it);
  attempts_.erase(it);
  if (has_urgencies_)
    ++ranked_pops_;
  return attempt;
}

bool AttemptQueue::Remove(AttemptId id) {
  return std::erase_if(attempts_, [id](const QueuedAttempt& it) {
           return it.id == id;
         }) > 0;
}

std::vector<QueuedAttempt> AttemptQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedAttempt> expired;
  auto kept = std::stable_partition(
      attempts_.begin(), attempts_.end(), [now](const QueuedAttempt& it) {
        return now < it.attempt_options.write_deadline;
      });
  std::move(kept, attempts_.end(), std::back_inserter(expired));
  attempts_.erase(kept, attempts_.end());
  return expired;
}

std::optional<TimePoint> AttemptQueue::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const QueuedAttempt& it : attempts_)
    next = std::min(next.value_or(it.attempt_options.write_deadline),
                    it.attempt_options.write_deadline);
  return next;
}

std::vector<QueuedAttempt> AttemptQueue::TakeAll() {
  std::vector<QueuedAttempt> all(std::move_iterator(attempts_.begin()),
                                 std::move_iterator(attempts_.end()));
  attempts_.clear();
  return all;
}

}  // namespace jujubecove

#include "dispatch/waiting_attempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujubecove {

void WaitingAttempts::Push(WaitingAttempt attempt) {
  auto position = std::upper_bound(
      attempts_.begin(), attempts_.end(), attempt.terms.write_for_target,
      [](TimePoint write_for_target, const WaitingAttempt& it) {
        return write_for_target < it.terms.write_for_target;
      });
  attempts_.insert(position, std::move(attempt));
}

std::size_t WaitingAttempts::NextIndex(TimePoint now) const {
  auto it = std::find_if(attempts_.begin(), attempts_.end(),
                         [now](const WaitingAttempt& it) {
                           return it.terms.write_for_target >= now;
                         });
  if (it == attempts_.end())
    return 0;
  return static_cast<std::size_t>(std::distance(attempts_.begin(), it));
}

const WaitingAttempt& WaitingAttempts::Next(TimePoint now) const {
  return attempts_[NextIndex(now)];
}

WaitingAttempt WaitingAttempts::Pop(TimePoint now) {
  auto it = attempts_.begin() + static_cast<std::ptrdiff_t>(NextIndex(now));
  WaitingAttempt attempt = std::move(*it);
  attempts_.erase(it);
  return attempt;
}

bool WaitingAttempts::Remove(AttemptId id) {
  return std::erase_if(attempts_, [id](const WaitingAttempt& it) {
           return it.id == id;
         }) > 0;
}

std::vector<WaitingAttempt> WaitingAttempts::TakeUseless(TimePoint now) {
  std::vector<WaitingAttempt> useless;
  auto kept = std::stable_partition(
      attempts_.begin(), attempts_.end(),
      [now](const WaitingAttempt& it) { return now < it.terms.latest_write; });
  std::move(kept, attempts_.end(), std::back_inserter(useless));
  attempts_.erase(kept, attempts_.end());
  return useless;
}

std::optional<TimePoint> WaitingAttempts::NextUseless() const {
  std::optional<TimePoint> next;
  for (const WaitingAttempt& it : attempts_)
    next =
        std::min(next.value_or(it.terms.latest_write), it.terms.latest_write);
  return next;
}

std::vector<WaitingAttempt> WaitingAttempts::TakeAll() {
  std::vector<WaitingAttempt> all(std::move_iterator(attempts_.begin()),
                                  std::move_iterator(attempts_.end()));
  attempts_.clear();
  return all;
}

}  // namespace jujubecove

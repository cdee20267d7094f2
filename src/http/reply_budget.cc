#include "http/reply_budget.h"

#include <algorithm>

namespace jujubecove {

void ReplyBudget::Update(Holder& holder, std::size_t reply_bytes) {
  if (reply_bytes <= kUncountedBytes)
    return;
  std::size_t& counted = counted_[&holder];
  used_ = used_ - counted + reply_bytes;
  counted = reply_bytes;
  while (used_ > max_bytes_) {
    auto largest = std::max_element(
        counted_.begin(), counted_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    Holder* evicted = largest->first;
    Release(*evicted);
    evicted->OnEvicted();
  }
}

void ReplyBudget::Release(Holder& holder) {
  auto it = counted_.find(&holder);
  if (it == counted_.end())
    return;
  used_ -= it->second;
  counted_.erase(it);
}

}  // namespace jujubecove

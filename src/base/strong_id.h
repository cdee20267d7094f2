#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jujubecove {

// A value that can't be mixed up with values of other ids with the same Rep.
// `Tag` only distinguishes the types.
template <typename Tag, typename Rep>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  Rep value_{};
};

}  // namespace jujubecove

template <typename Tag, typename Rep>
struct std::hash<jujubecove::StrongId<Tag, Rep>> {
  std::size_t operator()(const jujubecove::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

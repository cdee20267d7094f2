#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace jujubecove {

// A fast 64-bit hash. It is stable across processes and versions, but gives no
// protection against forgery.
inline std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace jujubecove

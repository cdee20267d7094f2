#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace jujubecove {

// A fast 64-bit hash that is stable across processes and versions. It is not
// cryptographically secure.
inline std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace jujubecove

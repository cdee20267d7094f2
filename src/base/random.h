#pragma once

#include <cstdint>
#include <random>

namespace jujubecove {

// The generator of every random decision. It is seeded explicitly, so that a
// run on the fake clock repeats exactly.
using RandomEngine = std::mt19937_64;

// A seed from the system's entropy, for real processes.
inline std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace jujubecove

#pragma once

#include <cstdint>
#include <random>

namespace jujubecove {

// The generator of all random decisions. It is seeded explicitly, so that runs
// on the fake clock are reproducible.
using RandomEngine = std::mt19937_64;

// Returns a seed from the system's entropy, for use outside of tests.
inline std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace jujubecove

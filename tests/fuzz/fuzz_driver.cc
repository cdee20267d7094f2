#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "tests/fuzz/fuzz_entry.h"

namespace {

constexpr int kDefaultInputs = 100'000;
constexpr int kMaxMutations = 6;
// Bytes with a syntactic role in the formats under test.
constexpr char kTokens[] = "\r\n:;, \t\"{}[]0123456789abcdefx-\x00\x7f\xff";

std::size_t RandomBelow(std::mt19937_64& random, std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

void Mutate(std::string& input,
            const std::vector<std::string>& seeds,
            std::mt19937_64& random) {
  std::size_t at = RandomBelow(random, input.size() + 1);
  std::size_t length = RandomBelow(random, 16);
  switch (RandomBelow(random, 6)) {
    case 0:
      input.insert(at, 1, kTokens[RandomBelow(random, sizeof(kTokens) - 1)]);
      break;
    case 1:
      input.erase(at, length);
      break;
    case 2:
      if (at < input.size())
        input[at] = static_cast<char>(RandomBelow(random, 256));
      break;
    case 3:
      input.insert(at,
                   input.substr(RandomBelow(random, input.size() + 1), length));
      break;
    case 4:
      input.resize(at);
      break;
    default:
      input.insert(at, seeds[RandomBelow(random, seeds.size())]);
      break;
  }
}

}  // namespace

// Usage: NAME [inputs [seed]]
int main(int argc, char** argv) {
  int inputs = argc > 1 ? std::atoi(argv[1]) : kDefaultInputs;
  std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::mt19937_64 random(seed);
  std::vector<std::string> seeds = FuzzSeeds();
  for (int n = 0; n < inputs; ++n) {
    std::string input = seeds[RandomBelow(random, seeds.size())];
    std::size_t mutations = RandomBelow(random, kMaxMutations + 1);
    for (std::size_t mutation = 0; mutation < mutations; ++mutation)
      Mutate(input, seeds, random);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                           input.size());
  }
  std::cout << inputs << " inputs, seed " << seed << "\n";
  return 0;
}

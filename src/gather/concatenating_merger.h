#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gather/merger.h"

namespace jujubecove {

// Concatenates the arrays in shard order. Bodies are stored as received and
// copied only once, into the result.
class ConcatenatingMerger : public Merger {
 public:
  ConcatenatingMerger(std::size_t shards, std::size_t max_bytes);

  MergeStatus Add(std::size_t shard, std::string body) override;
  std::string Finish() override;
  void Reset() override;

 private:
  struct Part {
    std::string body;
    // Range of the array's elements within the body.
    std::size_t begin = 0;
    std::size_t size = 0;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::vector<Part> parts_;
};

}  // namespace jujubecove

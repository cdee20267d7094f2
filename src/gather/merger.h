#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "document/document.h"

namespace jujubecove {

enum class MergeStatus : std::uint8_t {
  kMerged,
  // Not a JSON array.
  kMalformed,
  // The result would exceed its size limit; a retry cannot help.
  kTooLarge,
};

// Merges the JSON arrays returned by a query's shards into one. Records that
// occur in several shards are not deduplicated.
class Merger {
 public:
  virtual ~Merger() = default;

  // Adds the body of a shard, at most once per shard. `shard` is its position
  // in the merge order. Has no effect unless it returns kMerged.
  virtual MergeStatus Add(std::size_t shard, std::string body) = 0;
  virtual std::string Finish() = 0;
  // Discards all bodies, for a query that restarts under another version.
  virtual void Reset() = 0;
};

// `shards` is the number of shards of the query.
std::unique_ptr<Merger> MakeMerger(const KindSpec& spec,
                                   std::size_t shards,
                                   std::size_t max_bytes);

}  // namespace jujubecove

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
  // The result would pass its bound; another try can't help.
  kTooLarge,
};

// Makes one JSON array of the bodies of a query's shards. Records that occur in
// several shards are left as they are.
class Merger {
 public:
  virtual ~Merger() = default;

  // Takes the body of a shard, at most once for each. `shard` gives its place
  // in the order. Nothing is kept unless the result is kMerged.
  virtual MergeStatus Add(std::size_t shard, std::string body) = 0;
  virtual std::string Finish() = 0;
  // Drops everything, for a query that starts again under another version.
  virtual void Reset() = 0;
};

// `shards` is the number of shards that may be added.
std::unique_ptr<Merger> MakeMerger(const KindSpec& spec,
                                   std::size_t shards,
                                   std::size_t max_bytes);

}  // namespace jujubecove

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gather/merger.h"
#include "gather/sort_key.h"

namespace jujubecove {

// Keeps the first records by a named member. Ties go by shard, then by place in
// the shard's array. Only records that are among the first so far are kept, so
// the memory does not grow with the number of shards.
class FirstKMerger : public Merger {
 public:
  FirstKMerger(const KindSpec& spec, std::size_t max_bytes);

  MergeStatus Add(std::size_t shard, std::string body) override;
  std::string Finish() override;
  void Reset() override;

 private:
  struct Record {
    SortKey key;
    std::size_t shard = 0;
    std::size_t place = 0;
    std::string text;
  };

  bool ComesBefore(const Record& left, const Record& right) const;
  void Offer(std::size_t shard, std::size_t place, std::string_view text);

  std::string member_;
  bool descending_;
  std::size_t limit_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  // A heap with the last of the first records on top.
  std::vector<Record> records_;
};

}  // namespace jujubecove
